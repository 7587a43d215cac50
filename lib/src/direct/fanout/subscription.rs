//! The subscription to another node of the same failure domain.

use std::sync::Arc;

use async_trait::async_trait;
use tonic::{Code, Streaming};

use super::tree::{choose_publisher, ranked_nodes};
use super::wire::decode;
use super::{Received, Source};
use crate::clock::Millis;
use crate::direct::controllers::Controllers;
use crate::direct::validate::RejectReason;
use crate::name::Name;
use crate::schema::direct::{FollowRequest, Update as ProtoUpdate};

/// Maximum time for a subscription to be accepted.
const SUBSCRIBE_TIMEOUT: Millis = Millis(400);

/// How long a node isn't subscribed to after it failed to pass changes on in time.
const AVOID_TIME: Millis = Millis(5_000);

/// Status of a stream that ended because a message exceeds the maximum size.
const TOO_LARGE: Code = Code::OutOfRange;

/// A stream of updates from a publisher.
#[derive(Debug)]
struct PublisherStream {
    publisher: Name,
    /// When the stream was requested.
    requested_at: Millis,
    updates: Streaming<ProtoUpdate>,
}

/// Receives updates from another node of this node's failure domain.
#[derive(Debug)]
pub struct Subscription {
    controllers: Arc<Controllers>,
    failure_domain: Name,
    stream: Option<PublisherStream>,
    avoided: Vec<(Name, Millis)>,
}

impl Subscription {
    /// Creates a subscription without a publisher; the first call of `next` chooses one.
    #[must_use]
    pub fn new(controllers: Arc<Controllers>, failure_domain: Name) -> Self {
        Self {
            controllers,
            failure_domain,
            stream: None,
            avoided: Vec::new(),
        }
    }

    /// Returns the node that this node is subscribed to at the moment.
    #[must_use]
    pub fn publisher(&self) -> Option<Name> {
        let stream = self.stream.as_ref()?;
        Some(Name::clone(&stream.publisher))
    }

    async fn connect(&mut self, after: u64) -> Option<()> {
        let now = self.controllers.clock.now();
        self.avoided.retain(|(_, until)| *until > now);
        let (publisher, address) = {
            let state = self.controllers.view.state();
            let nodes = ranked_nodes(&state, &self.failure_domain);
            let rank = nodes
                .iter()
                .position(|name| *name == self.controllers.node)?;
            let publisher = choose_publisher(&nodes, rank, |name| {
                self.avoided.iter().any(|(avoided, _)| avoided == name)
            })?;
            (Name::clone(publisher), state.nodes.get(publisher)?.address)
        };
        let mut client = self.controllers.client(address);
        let response = client.follow(FollowRequest { after });
        match tokio::time::timeout(SUBSCRIBE_TIMEOUT.duration(), response).await {
            Ok(Ok(stream)) => {
                log::debug!("follow: subscribed to {publisher}");
                self.stream = Some(PublisherStream {
                    publisher,
                    requested_at: now,
                    updates: stream.into_inner(),
                });
                Some(())
            }
            Ok(Err(status)) => {
                log::info!(
                    "follow: {publisher} rejected the subscription: {}",
                    status.message()
                );
                self.avoided.push((publisher, now + AVOID_TIME));
                None
            }
            Err(_) => {
                log::info!("follow: {publisher} did not answer within {SUBSCRIBE_TIMEOUT}");
                self.avoided.push((publisher, now + AVOID_TIME));
                None
            }
        }
    }
}

#[async_trait]
impl Source for Subscription {
    fn may_have_subscribers(&self) -> bool {
        let state = self.controllers.view.state();
        !ranked_nodes(&state, &self.failure_domain).is_empty()
    }

    async fn next(&mut self, after: u64, within: Millis) -> Received {
        if self.stream.is_none() && self.connect(after).await.is_none() {
            return Received::NoSource;
        }
        let Some(stream) = &mut self.stream else {
            return Received::NoSource;
        };
        let message = tokio::time::timeout(within.duration(), stream.updates.message()).await;
        let Ok(message) = message else {
            return Received::Timeout;
        };
        let publisher = &stream.publisher;
        match message {
            Ok(Some(update)) => {
                let now = self.controllers.clock.now();
                Received::Update(decode(update, stream.requested_at, now))
            }
            Ok(None) => {
                log::info!("follow: {publisher} ended the stream");
                self.stream = None;
                Received::NoSource
            }
            Err(status) => {
                log::info!("follow: the stream from {publisher} failed: {status}");
                if status.code() == TOO_LARGE {
                    self.controllers.hub.count_rejected(RejectReason::Oversized);
                    self.avoid();
                }
                self.stream = None;
                Received::NoSource
            }
        }
    }

    fn avoid(&mut self) {
        if let Some(PublisherStream { publisher, .. }) = self.stream.take() {
            log::info!("follow: nothing new enough from {publisher}");
            let until = self.controllers.clock.now() + AVOID_TIME;
            self.avoided.push((publisher, until));
        }
    }
}
