//! Listening to another node without a socket.

use std::pin::Pin;
use std::sync::Arc;

use async_trait::async_trait;
use chivevalve::clock::{Clock, Millis};
use chivevalve::direct::fanout::{Heard, Hub, Source, Update};
use chivevalve::ports::{Entry, Event};
use chivevalve::schema::direct::Update as Sent;
use futures::StreamExt;
use tonic::Status;

type Stream = Pin<Box<dyn futures::Stream<Item = Result<Sent, Status>> + Send>>;

/// Listens to another node without a socket, so that time can be virtual.
pub struct InProcessSource {
    /// Whom to listen to; a node without is listened to.
    hub: Option<Arc<Hub>>,
    stream: Option<Stream>,
    clock: Arc<dyn Clock>,
    /// How much longer updates are on their way than they say.
    older: Millis,
}

impl InProcessSource {
    /// Listens to a node, or to nobody.
    pub fn new(hub: Option<Arc<Hub>>, clock: Arc<dyn Clock>, older: Millis) -> Self {
        Self {
            hub,
            stream: None,
            clock,
            older,
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
    fn is_shared(&self) -> bool {
        true
    }

    async fn next(&mut self, after: u64, within: Millis) -> Heard {
        let Some(hub) = &self.hub else {
            return Heard::Nobody;
        };
        let stream = match &mut self.stream {
            Some(stream) => stream,
            None => match hub.listen(after) {
                Ok(stream) => self.stream.insert(Box::pin(stream)),
                Err(_) => return Heard::Nobody,
            },
        };
        let Ok(sent) = tokio::time::timeout(within.duration(), stream.next()).await else {
            return Heard::Nothing;
        };
        let Some(Ok(sent)) = sent else {
            self.stream = None;
            return Heard::Nobody;
        };
        Heard::Update(Update {
            after: sent.after,
            revision: sent.revision,
            as_of: Millis(
                self.clock
                    .now()
                    .0
                    .saturating_sub(sent.age_ms + self.older.0),
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
