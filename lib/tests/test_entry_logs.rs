//! What the entry writes to the log, and what it must not.

mod entry_support;

use std::sync::Mutex;

use chivevalve::error::Code;
use entry_support::{Ending, Step, events, eventually, fail, world};
use log::{Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Keeper;

impl Log for Keeper {
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

/// Symptom: a key or a prompt is found in a collected log.
/// Sequence: requests fail in many ways while the log is at its most detailed.
/// Cause: a line or an error quotes what the caller sent.
#[tokio::test]
async fn logs_hold_no_secret() {
    log::set_logger(&Keeper).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let world = world().await;
    let secret = ",\"user\":\"secret-prompt\"";
    world.chat("summary", secret).await;
    world.chat("summary", ",\"stream\":\"secret-prompt\"").await;
    world.chat("summary", "secret-prompt").await;
    let said = "{\"error\":{\"message\":\"secret-prompt\"}}";
    let refusal = Step::Answer(400, vec![], vec![said.into()], Ending::Whole);
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
