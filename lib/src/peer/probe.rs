//! Detects that a peer has stopped responding while requests wait for it.

use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;
use tonic::transport::Channel;

use super::Limits;
use crate::clock::Millis;
use crate::schema::peer::AliveRequest;
use crate::schema::peer::peer_client::PeerClient;

/// Sends `Alive` calls to one peer while requests wait for it.
///
/// A request may wait long in the queue of a healthy owner. At an owner that is paused or has
/// lost power it would wait until its deadline, although another upstream could run it. The
/// connection doesn't report this soon enough, because it is kept open for responses that
/// have begun.
#[derive(Debug)]
pub(super) struct Probe {
    client: PeerClient<Channel>,
    interval: Millis,
    timeout: Millis,
    /// The calls shared by all requests that currently wait.
    round: Mutex<Weak<ProbeRound>>,
}

/// `Alive` calls that continue until no request waits any more or the peer is silent.
#[derive(Debug)]
struct ProbeRound {
    silent: watch::Receiver<bool>,
    _task: AbortOnDropHandle<()>,
}

impl Probe {
    /// Creates a probe; calls are made only while a request waits.
    pub(super) fn new(client: PeerClient<Channel>, limits: &Limits) -> Self {
        Self {
            client,
            interval: limits.ping_interval,
            timeout: limits.ping_timeout,
            round: Mutex::default(),
        }
    }

    /// Returns when the peer hasn't replied to an `Alive` call in time.
    pub(super) async fn wait_until_silent(&self) {
        let round = self.join_round();
        let mut silent = round.silent.clone();
        // The sender lives as long as the round, unless it has reported silence.
        let _ = silent.wait_for(|silent| *silent).await;
    }

    fn join_round(&self) -> Arc<ProbeRound> {
        let mut round = self.round.lock().unwrap_or_else(PoisonError::into_inner);
        let running = round.upgrade().filter(|round| !*round.silent.borrow());
        running.unwrap_or_else(|| {
            let started = Arc::new(self.start_round());
            *round = Arc::downgrade(&started);
            started
        })
    }

    fn start_round(&self) -> ProbeRound {
        let (silent_sender, silent) = watch::channel(false);
        let mut client = self.client.clone();
        let (interval, timeout) = (self.interval.duration(), self.timeout.duration());
        let probing = async move {
            loop {
                tokio::time::sleep(interval).await;
                // Any reply counts, even an error from a node that doesn't know the call.
                let reply = tokio::time::timeout(timeout, client.alive(AliveRequest {})).await;
                if reply.is_err() {
                    silent_sender.send_replace(true);
                    return;
                }
            }
        };
        ProbeRound {
            silent,
            _task: AbortOnDropHandle::new(tokio::spawn(probing)),
        }
    }
}
