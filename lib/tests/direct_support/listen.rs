//! Listening to another node without a socket.

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

/// Listens to another node without a socket, so that time can be virtual.
pub struct Direct {
    /// Whom to listen to; a node without is listened to.
    hub: Option<Arc<Hub>>,
    stream: Option<Stream>,
    clock: Arc<dyn Clock>,
    /// How much longer updates are on their way than they say.
    older: Millis,
}

impl Direct {
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

impl std::fmt::Debug for Direct {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Direct").finish_non_exhaustive()
    }
}

#[async_trait]
impl Source for Direct {
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
