//! Whether a peer that says nothing still lives.

use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;
use tonic::transport::Channel;

use super::Limits;
use crate::clock::Millis;
use crate::schema::peer::AliveRequest;
use crate::schema::peer::peer_client::PeerClient;

/// Asks one peer for signs of life while requests wait for it.
///
/// A request may wait long in the queue of an owner that is well. One that waits
/// at an owner which is paused, or lost its power, would hang until its deadline,
/// though another upstream would take it; the connection shows nothing, as it is
/// kept for the sake of answers that have begun.
#[derive(Debug)]
pub(super) struct Probe {
    client: PeerClient<Channel>,
    after: Millis,
    timeout: Millis,
    /// What all requests that wait now share.
    round: Mutex<Weak<Round>>,
}

/// Signs of life that are asked for until nobody waits any more.
#[derive(Debug)]
struct Round {
    silent: watch::Receiver<bool>,
    _task: AbortOnDropHandle<()>,
}

impl Probe {
    /// Makes a probe that asks nothing yet.
    pub(super) fn new(client: PeerClient<Channel>, limits: &Limits) -> Self {
        Self {
            client,
            after: limits.ping_interval,
            timeout: limits.ping_timeout,
            round: Mutex::default(),
        }
    }

    /// Returns when the peer has given no sign of life in time.
    pub(super) async fn silent(&self) {
        let round = self.join();
        let mut silent = round.silent.clone();
        // The sender lives as long as the round, unless the peer was silent.
        let _ = silent.wait_for(|silent| *silent).await;
    }

    fn join(&self) -> Arc<Round> {
        let mut round = self.round.lock().unwrap_or_else(PoisonError::into_inner);
        let running = round.upgrade().filter(|round| !*round.silent.borrow());
        running.unwrap_or_else(|| {
            let started = Arc::new(self.started());
            *round = Arc::downgrade(&started);
            started
        })
    }

    fn started(&self) -> Round {
        let (found, silent) = watch::channel(false);
        let mut client = self.client.clone();
        let (after, timeout) = (self.after.duration(), self.timeout.duration());
        let asking = async move {
            loop {
                tokio::time::sleep(after).await;
                // Any answer will do, also that of a node that doesn't know the call.
                let said = tokio::time::timeout(timeout, client.alive(AliveRequest {})).await;
                if said.is_err() {
                    found.send_replace(true);
                    return;
                }
            }
        };
        Round {
            silent,
            _task: AbortOnDropHandle::new(tokio::spawn(asking)),
        }
    }
}
