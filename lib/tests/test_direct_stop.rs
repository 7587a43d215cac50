//! The start of a node's drain, in virtual time.

use chivevalve::clock::Millis;
use chivevalve::direct::node::release_claims_before_close;
use chivevalve::ports::Error;
use tokio::time::Instant;

/// Guards against a drain that aborts a request which arrived four seconds after the drain began.
/// The key-value service lost its responses, so the call that releases the claims waited for its
/// timeout of 1.5 s. The 2.4 s in which the balancer notices the drain started only then: the
/// callers' port closed after 3.9 s, and a request that had just arrived had too little time left.
#[tokio::test(start_paused = true)]
async fn give_notice_while_the_service_is_silent() {
    let took = async |leave: Millis| {
        let began = Instant::now();
        release_claims_before_close(async move {
            tokio::time::sleep(leave.duration()).await;
            Err(Error::NoAnswer("simulated by the test".to_owned()))
        })
        .await;
        began.elapsed()
    };
    let at_once = took(Millis::ZERO).await;
    assert_eq!(took(Millis(1_500)).await, at_once);
    assert_eq!(took(Millis::from_secs(60)).await, at_once);
}
