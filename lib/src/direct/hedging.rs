//! Hedged calls to the key-value service, for when it has stopped answering.

use std::time::Duration;

use futures::FutureExt;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::clock::{Clock, Millis};
use crate::ports::{Error, Store};

/// Time without an answer after which another call is made in parallel.
///
/// The service answers within milliseconds, or some hundred milliseconds when it is slow. A node
/// that starts while the service is silent has no configuration and refuses all callers. With a
/// single call that timed out after 1.5 s, it went on refusing them for up to that long after the
/// service had returned.
const HEDGE_DELAY: Millis = Millis(400);

/// Maximum number of concurrent calls. Once it is reached, the next call waits until one of them
/// fails.
const MAX_CALLS: usize = 4;

/// Result of a hedged call.
#[derive(Debug)]
pub struct HedgedResult<T> {
    /// The first answer, or the last failure if all calls failed.
    pub result: T,
    /// When the call with this result was made.
    pub asked: Millis,
    /// When the last call was made that got no answer within [`HEDGE_DELAY`].
    pub last_unanswered: Option<Millis>,
}

/// Repeats a call until one attempt is answered or the last pending one has failed.
///
/// Another attempt is made while earlier ones are pending, since the service may have returned
/// after they were sent.
pub async fn hedged<T, F: Future<Output = T>>(
    clock: &dyn Clock,
    call: impl Fn() -> F,
    is_answer: impl Fn(&T) -> bool,
) -> HedgedResult<T> {
    let start_call = || {
        let asked = clock.now();
        call().map(move |result| (result, asked))
    };
    let mut newest = clock.now();
    let mut last_unanswered = None;
    let mut calls = FuturesUnordered::new();
    calls.push(start_call());
    loop {
        let timeout = if calls.len() < MAX_CALLS {
            (newest + HEDGE_DELAY).since(clock.now()).duration()
        } else {
            Duration::MAX
        };
        if let Ok(Some((result, asked))) = tokio::time::timeout(timeout, calls.next()).await {
            if is_answer(&result) || calls.is_empty() {
                return HedgedResult {
                    result,
                    asked,
                    last_unanswered,
                };
            }
        } else {
            last_unanswered = Some(newest);
            newest = clock.now();
            calls.push(start_call());
        }
    }
}

/// Waits until the service has answered a read of one key, whatever its value.
///
/// The read is small, so that a slow link isn't mistaken for a silent service: listing thousands
/// of engines takes longer than [`HEDGE_DELAY`] on a VM with 20 Mbit/s, and listing them twice
/// would slow the link further.
///
/// # Errors
///
/// The last error, when no other call is pending.
pub async fn wait_until_available(
    clock: &dyn Clock,
    store: &dyn Store,
    key: &str,
) -> Result<(), Error> {
    let is_answer = |result: &Result<_, Error>| {
        if let Err(error) = result {
            log::info!("follow: the key-value service did not answer: {error}");
        }
        result.is_ok()
    };
    let hedged_result = hedged(clock, || store.get(key), is_answer).await;
    hedged_result.result.map(drop)
}
