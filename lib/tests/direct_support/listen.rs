//! Subscription to another node without a socket.

use std::pin::Pin;
use std::sync::Arc;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Millis};
use chivevalve::direct::fanout::{Hub, Received, Source, Update};
use chivevalve::ports::{Entry, Event};
use chivevalve::schema::direct::Update as Sent;
use futures::StreamExt;
use tonic::Status;

type Stream = Pin<Box<dyn futures::Stream<Item = Result<Sent, Status>> + Send>>;

/// Subscribes to another node's updates without a socket, so that tests can use virtual time.
pub struct InProcessSource {
    /// The node that publishes updates; `None` for a node without a source.
    hub: Option<Arc<Hub>>,
    stream: Option<Stream>,
    clock: Arc<dyn Clock>,
    /// Delay of updates that their age doesn't include.
    extra_age: Millis,
}

impl InProcessSource {
    /// Creates a source of a node's updates, or one without a node.
    pub fn new(hub: Option<Arc<Hub>>, clock: Arc<dyn Clock>, extra_age: Millis) -> Self {
        Self {
            hub,
            stream: None,
            clock,
            extra_age,
        }
    }
}

impl std::fmt::Debug for InProcessSource {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("InProcessSource")
            .finish_non_exhaustive()
    }
}

#[async_trait]
impl Source for InProcessSource {
    fn may_have_subscribers(&self) -> bool {
        true
    }

    async fn next(&mut self, after: u64, within: Millis) -> Received {
        let Some(hub) = &self.hub else {
            return Received::NoSource;
        };
        let stream = match &mut self.stream {
            Some(stream) => stream,
            None => match hub.subscribe(after) {
                Ok(stream) => self.stream.insert(Box::pin(stream)),
                Err(_) => return Received::NoSource,
            },
        };
        let Ok(sent) = tokio::time::timeout(within.duration(), stream.next()).await else {
            return Received::Timeout;
        };
        let Some(Ok(sent)) = sent else {
            self.stream = None;
            return Received::NoSource;
        };
        Received::Update(Update {
            after: sent.after,
            revision: sent.revision,
            as_of: Millis(
                self.clock
                    .now()
                    .0
                    .saturating_sub(sent.age_ms + self.extra_age.0),
            ),
            events: sent
                .changes
                .into_iter()
                .map(|change| Event {
                    key: change.key.clone(),
                    entry: (!change.removed).then(|| Entry {
                        key: change.key,
                        value: change.value.into(),
                        revision: change.revision,
                        created: change.created,
                        lease: None,
                    }),
                    revision: change.revision,
                })
                .collect(),
        })
    }

    fn avoid(&mut self) {
        self.stream = None;
    }
}
