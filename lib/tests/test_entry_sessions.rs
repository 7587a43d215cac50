//! Golden files of callers' complete exchanges.

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
    let response = Step::Answer(201, headers, vec!["booked".into()], Ending::Whole);
    world.script.then(response);
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

/// Guards against an account finding out which templates another one has: it could try names if the
/// response for another account's template differed from the one for an unknown template.
#[tokio::test]
async fn session_other_accounts_template() {
    let world = world().await;
    let other_accounts = world.chat("fault", "").await;
    let unknown = world.chat("wrong", "").await;
    golden!("other_accounts_template", &other_accounts);
    let without_request_id = |text: &str| text.rsplit_once("request_id").unwrap().0.to_owned();
    assert_eq!(
        without_request_id(other_accounts.split_once('{').unwrap().1),
        without_request_id(unknown.split_once('{').unwrap().1)
    );
    assert_eq!(world.script.count(), 0);
}

#[tokio::test]
async fn session_unknown_key() {
    let world = world().await;
    let text = request("GET /v1/models", &["authorization: Bearer nobody"], "");
    golden!("unknown_key", world.raw(&text).await);
}

/// Guards against a truncated response that looks complete: when the engine crashes in the middle of
/// a stream, the stream must not end regularly.
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
