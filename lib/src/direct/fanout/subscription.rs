//! Listening to a node of the own failure domain.

use std::sync::Arc;

use async_trait::async_trait;
use tonic::{Code, Streaming};

use super::tree::{choose, ranked};
use super::wire::decode;
use super::{Received, Source};
use crate::clock::Millis;
use crate::direct::controllers::Controllers;
use crate::direct::validate::RejectReason;
use crate::name::Name;
use crate::schema::direct::{FollowRequest, Update as Sent};

/// The longest that beginning to listen may take.
const CONNECT: Millis = Millis(400);

/// How long a node that passed nothing on in time isn't listened to.
const AVOIDED: Millis = Millis(5_000);

/// What listening ends with where a message is larger than a node reads.
const TOO_LARGE: Code = Code::OutOfRange;

/// A call over which updates come.
#[derive(Debug)]
struct Listening {
    leader: Name,
    /// When the call was made.
    asked: Millis,
    updates: Streaming<Sent>,
}

/// Listens to a node of this node's failure domain.
#[derive(Debug)]
pub struct Subscription {
    controllers: Arc<Controllers>,
    failure_domain: Name,
    stream: Option<Listening>,
    avoided: Vec<(Name, Millis)>,
}

impl Subscription {
    /// Makes a subscription to nobody yet.
    #[must_use]
    pub fn new(controllers: Arc<Controllers>, failure_domain: Name) -> Self {
        Self {
            controllers,
            failure_domain,
            stream: None,
            avoided: Vec::new(),
        }
    }

    /// Returns whom this node listens to at this moment.
    #[must_use]
    pub fn publisher(&self) -> Option<Name> {
        let listening = self.stream.as_ref()?;
        Some(Name::clone(&listening.leader))
    }

    async fn begin(&mut self, after: u64) -> Option<()> {
        let now = self.controllers.clock.now();
        self.avoided.retain(|(_, until)| *until > now);
        let (leader, address) = {
            let state = self.controllers.view.state();
            let nodes = ranked(&state, &self.failure_domain);
            let at = nodes
                .iter()
                .position(|name| *name == self.controllers.node)?;
            let leader = choose(&nodes, at, |name| {
                self.avoided.iter().any(|(avoided, _)| avoided == name)
            })?;
            (Name::clone(leader), state.nodes.get(leader)?.address)
        };
        let mut client = self.controllers.client(address);
        let asked = client.follow(FollowRequest { after });
        match tokio::time::timeout(CONNECT.duration(), asked).await {
            Ok(Ok(stream)) => {
                log::debug!("follow: listens to {leader}");
                self.stream = Some(Listening {
                    leader,
                    asked: now,
                    updates: stream.into_inner(),
                });
                Some(())
            }
            Ok(Err(status)) => {
                log::info!("follow: {leader} passes nothing on: {}", status.message());
                self.avoided.push((leader, now + AVOIDED));
                None
            }
            Err(_) => {
                log::info!("follow: {leader} does not answer within {CONNECT}");
                self.avoided.push((leader, now + AVOIDED));
                None
            }
        }
    }
}

#[async_trait]
impl Source for Subscription {
    fn may_have_subscribers(&self) -> bool {
        let state = self.controllers.view.state();
        !ranked(&state, &self.failure_domain).is_empty()
    }

    async fn next(&mut self, after: u64, within: Millis) -> Received {
        if self.stream.is_none() && self.begin(after).await.is_none() {
            return Received::NoSource;
        }
        let Some(listening) = &mut self.stream else {
            return Received::NoSource;
        };
        let message = tokio::time::timeout(within.duration(), listening.updates.message()).await;
        let Ok(message) = message else {
            return Received::Timeout;
        };
        let leader = &listening.leader;
        match message {
            Ok(Some(sent)) => {
                let now = self.controllers.clock.now();
                Received::Update(decode(sent, listening.asked, now))
            }
            Ok(None) => {
                log::info!("follow: {leader} passes nothing on any more");
                self.stream = None;
                Received::NoSource
            }
            Err(status) => {
                log::info!("follow: {leader} passes nothing on any more: {status}");
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
        if let Some(Listening { leader, .. }) = self.stream.take() {
            log::info!("follow: nothing new enough from {leader}");
            let until = self.controllers.clock.now() + AVOIDED;
            self.avoided.push((leader, until));
        }
    }
}
