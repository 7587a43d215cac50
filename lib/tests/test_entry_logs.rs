//! Checks that the entry's log lines identify the request and contain no secrets.

mod entry_support;

use std::sync::Mutex;

use chivevalve::error::Code;
use entry_support::{Ending, Step, events, eventually, fail, world};
use log::{Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl Log for Recorder {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        if record.target().starts_with("chivevalve") {
            LINES.lock().unwrap().push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// Guards against keys and prompts in the log: requests fail in several ways at the most verbose
/// level, and no line or error message may quote what the caller sent.
#[tokio::test]
async fn logs_contain_no_secrets() {
    log::set_logger(&Recorder).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let world = world().await;
    let secret = ",\"user\":\"secret-prompt\"";
    world.chat("summary", secret).await;
    world.chat("summary", ",\"stream\":\"secret-prompt\"").await;
    world.chat("summary", "secret-prompt").await;
    let error = "{\"error\":{\"message\":\"secret-prompt\"}}";
    let refusal = Step::Answer(400, vec![], vec![error.into()], Ending::Whole);
    world.script.then(refusal);
    world.chat("summary", secret).await;
    world.script.then(fail(Code::UpstreamLost));
    world.script.then(events(
        &["secret-prompt"],
        Ending::Broken(Code::WrongAnswer),
    ));
    world.chat("summary", ",\"stream\":true").await;
    world.store.set_down(true);
    let key = ["idempotency-key: secret-idempotency"];
    world
        .send("POST /services/push/secret-path", &key, "secret-prompt")
        .await;
    let lines = || LINES.lock().unwrap().clone();
    eventually(|| {
        lines()
            .iter()
            .any(|line| line.contains("claim_unavailable"))
    })
    .await;
    for line in lines() {
        assert!(
            !line.contains("shop-key") && !line.contains("secret"),
            "{line}"
        );
        assert!(
            line.starts_with("entry: ") || line.starts_with("claim: "),
            "{line}"
        );
        if line.contains("ended as") {
            assert!(
                line.contains("account shop") && line.contains("request "),
                "{line}"
            );
        }
    }
}
