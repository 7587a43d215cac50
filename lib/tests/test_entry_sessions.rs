//! Golden texts of callers' whole sessions.

mod entry_support;

use chivevalve::error::Code;
use entry_support::{Ending, Step, events, fail, json, request, world};

#[tokio::test]
async fn session_models() {
    let world = world().await;
    golden!("models", world.send("GET /v1/models", &[], "").await);
}

#[tokio::test]
async fn session_whole() {
    let world = world().await;
    world
        .script
        .then(json(r#"{"id":"c1","usage":{"total_tokens":3}}"#));
    golden!(
        "whole",
        world.chat("summary", r#","max_tokens":5,"seed":1"#).await
    );
    golden!("whole_upstream", world.script.story().join("\n"));
}

#[tokio::test]
async fn session_streamed() {
    let world = world().await;
    world
        .script
        .then(events(&["{\"n\":1}", "{\"n\":2}", "[DONE]"], Ending::Whole));
    golden!("streamed", world.chat("summary", r#","stream":true"#).await);
}

#[tokio::test]
async fn session_push() {
    let world = world().await;
    let headers = vec![("x-own", "1"), ("connection", "x-hop"), ("x-hop", "2")];
    let answer = Step::Answer(201, headers, vec!["booked".into()], Ending::Whole);
    world.script.then(answer);
    let headers = ["content-type: text/plain", "keep-alive: 3"];
    golden!(
        "push",
        world
            .send("PUT /services/push/receipts/7?till=2", &headers, "12.50")
            .await
    );
    golden!("push_upstream", world.script.story().join("\n"));
}

#[tokio::test]
async fn session_refused() {
    let world = world().await;
    world.script.then(fail(Code::Brownout));
    golden!("refused", world.chat("summary", "").await);
}

/// Symptom: one account finds out which templates another one has.
/// Sequence: it names templates until one is answered differently.
/// Cause: "not yours" and "not there" were told apart.
#[tokio::test]
async fn session_other_accounts_template() {
    let world = world().await;
    let theirs = world.chat("fault", "").await;
    let nobodys = world.chat("wrong", "").await;
    golden!("other_accounts_template", &theirs);
    let plain = |text: &str| text.rsplit_once("request_id").unwrap().0.to_owned();
    assert_eq!(
        plain(theirs.split_once('{').unwrap().1),
        plain(nobodys.split_once('{').unwrap().1)
    );
    assert_eq!(world.script.count(), 0);
}

#[tokio::test]
async fn session_unknown_key() {
    let world = world().await;
    let text = request("GET /v1/models", &["authorization: Bearer nobody"], "");
    golden!("unknown_key", world.raw(&text).await);
}

/// Symptom: a client shows half an answer as the whole one.
/// Sequence: the engine dies in the middle of a stream.
/// Cause: the layer ended the stream in order.
#[tokio::test]
async fn session_stream_cut() {
    let world = world().await;
    world
        .script
        .then(events(&["{\"n\":1}"], Ending::Broken(Code::UpstreamLost)));
    golden!(
        "stream_cut",
        world.chat("summary", r#","stream":true"#).await
    );
}

#[tokio::test]
async fn session_stop() {
    let world = world().await;
    world.send("GET /v1/models", &[], "").await;
    world.stop().await.unwrap();
}
