//! Many open streams, and how late each token comes to its caller.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chivevalve_standins::caller::{Caller, Question};
use chivevalve_standins::engine::micros;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;
/// Places that streams write to.
const SHARDS: usize = 16;
/// Begins a token's time in the engine's text.
const STAMP: &[u8] = b" u";
/// Time over which streams start, so that they don't all start in one step.
const RAMP: Duration = Duration::from_secs(2);

/// Where a stream is asked for, and what.
#[derive(Debug, Clone)]
pub struct Target {
    pub address: SocketAddr,
    /// The template, or at an engine the adapter.
    pub model: String,
}

/// What the streams saw while it was measured.
#[derive(Debug)]
pub struct Seen {
    /// Time from the engine's making of a token to its caller, in microseconds.
    pub token: Histogram<u64>,
    /// Time from the request to the first piece, in microseconds.
    pub first: Histogram<u64>,
    /// Requests that ended without a whole answer.
    pub failed: u64,
}

impl Default for Seen {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(LONGEST, 3).expect("the bounds are valid");
        Self {
            token: histogram(),
            first: histogram(),
            failed: 0,
        }
    }
}

impl Seen {
    fn add(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.token.add(&other.token);
        let _ = self.first.add(&other.first);
        self.failed += other.failed;
    }
}

/// Streams that are kept open until dropped.
#[derive(Debug)]
pub struct Streams {
    tasks: JoinSet<()>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    measuring: AtomicBool,
    tokens: AtomicU64,
    /// Streams write to one of several, so that they seldom wait for one another.
    seen: [Mutex<Seen>; SHARDS],
}

impl Shared {
    /// Writes down what a stream saw, while it is measured.
    fn note(&self, stream: usize, write: impl FnOnce(&mut Seen)) {
        if self.measuring.load(Ordering::Relaxed) {
            write(&mut lock(&self.seen[stream % SHARDS]));
        }
    }

    fn take(&self) -> Seen {
        let mut all = Seen::default();
        for shard in &self.seen {
            all.add(&std::mem::take(&mut *lock(shard)));
        }
        all
    }
}

fn lock(seen: &Mutex<Seen>) -> MutexGuard<'_, Seen> {
    seen.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Streams {
    /// Opens streams, the targets in turn; each ended one is followed by another.
    pub async fn open(caller: &Caller, targets: &[Target], count: usize, tokens: u32) -> Self {
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        let step = RAMP / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        for (stream, target) in targets.iter().cycle().take(count).enumerate() {
            let (caller, target) = (caller.clone(), target.clone());
            let shared = Arc::clone(&shared);
            tasks.spawn(async move {
                loop {
                    follow(&caller, &target, tokens, stream, &shared).await;
                }
            });
            sleep(step).await;
        }
        Self { tasks, shared }
    }

    /// Measures for a while; returns what was seen and the tokens that came.
    pub async fn measure(&self, span: Duration) -> (Seen, u64) {
        self.shared.measuring.store(true, Ordering::Relaxed);
        let before = self.shared.tokens.load(Ordering::Relaxed);
        sleep(span).await;
        let after = self.shared.tokens.load(Ordering::Relaxed);
        self.shared.measuring.store(false, Ordering::Relaxed);
        (self.shared.take(), after - before)
    }

    /// Closes all streams.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Follows one answer to its end.
async fn follow(caller: &Caller, target: &Target, tokens: u32, stream: usize, shared: &Shared) {
    let question = Question {
        template: target.model.clone(),
        chat: false,
        stream: true,
        tokens,
        mark: "m".to_owned(),
    };
    let began = micros();
    let request = caller.completion(target.address, &question);
    let whole = match caller.open(request).await {
        Ok(response) if response.status().is_success() => {
            read(response.into_body(), began, stream, shared).await
        }
        _ => false,
    };
    if !whole {
        shared.note(stream, |seen| seen.failed += 1);
        // Callers that are refused at once would otherwise ask in a loop, and the processor
        // time of the loop would be measured.
        sleep(Duration::from_millis(50)).await;
    }
}

async fn read(mut body: Incoming, began: u64, stream: usize, shared: &Shared) -> bool {
    let mut first = true;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let now = micros();
        if std::mem::take(&mut first) {
            shared.note(stream, |seen| seen.first.saturating_record(now - began));
        }
        for made in stamps(&piece) {
            shared.tokens.fetch_add(1, Ordering::Relaxed);
            let age = now.saturating_sub(made);
            shared.note(stream, |seen| seen.token.saturating_record(age));
        }
        if piece.ends_with(b"[DONE]\n\n") {
            return true;
        }
    }
    false
}

/// Returns the times in a piece of an answer.
fn stamps(piece: &Bytes) -> impl Iterator<Item = u64> {
    let starts = piece
        .windows(STAMP.len())
        .enumerate()
        .filter(|(_, window)| *window == STAMP)
        .map(|(index, _)| index + STAMP.len());
    starts.filter_map(|start| {
        let digits: Vec<u8> = piece[start..]
            .iter()
            .copied()
            .take_while(u8::is_ascii_digit)
            .collect();
        String::from_utf8(digits).ok()?.parse().ok()
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stamps_of_a_piece() {
        let piece = Bytes::from_static(b"{\"text\":\" u12\"}\n{\"text\":\" u345\"} up");
        assert_eq!(stamps(&piece).collect::<Vec<_>>(), [12, 345]);
    }
}
