//! Waiting for a silent key-value service to answer again.

use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};

use crate::clock::Millis;
use crate::ports::{Error, Store};

/// How long a question may be without an answer before it is asked again beside.
///
/// The service answers in milliseconds, in some hundred when it is slow. A node that starts while
/// it is silent knows no configuration and refuses all callers: with one call that is given up
/// after 1.5 s they were refused for up to as long after the service's return.
const AGAIN: Millis = Millis(400);

/// Questions at once; as many go without an answer until the first one fails.
const MOST: usize = 4;

/// Returns once the service has answered a question for one key, whatever it holds.
///
/// The question is small, so that no slow link is taken for silence: a listing of thousands of
/// engines lasts longer than [`AGAIN`] at a VM with 20 Mbit/s, and reading it twice would slow it.
///
/// # Errors
///
/// The service's refusal, when no other question is on its way.
pub async fn wait(store: &dyn Store, key: &str) -> Result<(), Error> {
    let mut questions = FuturesUnordered::new();
    questions.push(store.get(key));
    loop {
        let span = if questions.len() < MOST {
            AGAIN.duration()
        } else {
            Duration::MAX
        };
        match tokio::time::timeout(span, questions.next()).await {
            Ok(Some(Ok(_))) => return Ok(()),
            Ok(Some(Err(error))) if questions.is_empty() => return Err(error),
            Ok(Some(Err(error))) => {
                log::info!("follow: the key-value service did not answer: {error}");
            }
            Ok(None) | Err(_) => questions.push(store.get(key)),
        }
    }
}
