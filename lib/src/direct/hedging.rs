//! Waiting for a silent key-value service to answer again.

use std::time::Duration;

use futures::FutureExt;
use futures::stream::{FuturesUnordered, StreamExt};

use crate::clock::{Clock, Millis};
use crate::ports::{Error, Store};

/// How long a question may be without an answer before it is asked again beside.
///
/// The service answers in milliseconds, in some hundred when it is slow. A node that starts while
/// it is silent knows no configuration and refuses all callers: with one call that is given up
/// after 1.5 s they were refused for up to as long after the service's return.
const AGAIN: Millis = Millis(400);

/// Questions at once; as many go without an answer until the first one fails.
const MOST: usize = 4;

/// How a question that was asked several times ended.
#[derive(Debug)]
pub struct HedgedResult<T> {
    /// The first answer, or the last failure.
    pub result: T,
    /// When the question was asked that ended so.
    pub asked: Millis,
    /// When the last one was asked that had no answer though there was time for one.
    pub last_unanswered: Option<Millis>,
}

/// Asks the same again and again until there is an answer, or nothing is left to wait for.
///
/// Another question is asked beside one that has no answer yet, since the service may have
/// returned behind it.
pub async fn hedged<T, F: Future<Output = T>>(
    clock: &dyn Clock,
    question: impl Fn() -> F,
    is_answer: impl Fn(&T) -> bool,
) -> HedgedResult<T> {
    let asking = || {
        let asked = clock.now();
        question().map(move |result| (result, asked))
    };
    let mut newest = clock.now();
    let mut last_unanswered = None;
    let mut questions = FuturesUnordered::new();
    questions.push(asking());
    loop {
        let span = if questions.len() < MOST {
            (newest + AGAIN).since(clock.now()).duration()
        } else {
            Duration::MAX
        };
        if let Ok(Some((result, asked))) = tokio::time::timeout(span, questions.next()).await {
            if is_answer(&result) || questions.is_empty() {
                return HedgedResult {
                    result,
                    asked,
                    last_unanswered,
                };
            }
        } else {
            last_unanswered = Some(newest);
            newest = clock.now();
            questions.push(asking());
        }
    }
}

/// Returns once the service has answered a question for one key, whatever it holds.
///
/// The question is small, so that no slow link is taken for silence: a listing of thousands of
/// engines lasts longer than [`AGAIN`] at a VM with 20 Mbit/s, and reading it twice would slow it.
///
/// # Errors
///
/// The service's refusal, when no other question is on its way.
pub async fn wait_until_available(
    clock: &dyn Clock,
    store: &dyn Store,
    key: &str,
) -> Result<(), Error> {
    let answered = |result: &Result<_, Error>| {
        if let Err(error) = result {
            log::info!("follow: the key-value service did not answer: {error}");
        }
        result.is_ok()
    };
    let reached = hedged(clock, || store.get(key), answered).await;
    reached.result.map(drop)
}
