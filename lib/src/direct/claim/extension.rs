//! Going on without the key-value service while all other nodes agree.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use async_trait::async_trait;

use super::Claimer;
use crate::clock::Millis;
use crate::direct::limits::RIGHT;
use crate::ports::Error;

/// Pause before nodes that gave no support are asked again; twice what connecting takes.
const SUPPORT_PAUSE: Millis = Millis(100);

/// A node that gave no support.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Doubter {
    /// Where it was asked.
    pub peer: SocketAddr,
    /// What it said, or why it said nothing.
    pub why: String,
}

/// Asks all other nodes for support while the key-value service is away.
#[async_trait]
pub trait Support: std::fmt::Debug + Send + Sync {
    /// Returns the nodes that have to agree, or none if they aren't known.
    fn others(&self) -> Option<Vec<SocketAddr>>;

    /// Asks nodes whether they agree, and returns those that didn't.
    ///
    /// A node agrees as [`Right::supports`] says, or by not running: its next start begins
    /// later than the question.
    async fn doubters(&self, asked: &[SocketAddr], owned: &[(SocketAddr, u64)]) -> Vec<Doubter>;
}

impl Claimer {
    /// Goes on giving orders through an outage of the service that all nodes have.
    ///
    /// Without this no adapter is loaded for as long as an outage lasts and eight
    /// seconds more. It takes every other node, and a right that has not ended
    /// meanwhile. A node that a kept connection fails to reach is asked again: a
    /// renewal takes so long to fail that one right has time for one round only,
    /// and a node restarted in that second ended the orders of all others for the
    /// rest of an outage.
    pub(super) async fn go_on_without(&self, error: &Error) {
        let sent = self.clock.now();
        let owned: Vec<(SocketAddr, u64)> = self
            .right
            .owned()
            .iter()
            .map(|(address, owned)| (*address, owned.token))
            .collect();
        if owned.is_empty() {
            log::warn!("right: no renewal: {error}");
            return;
        }
        let doubters = self.doubters(&owned).await;
        let supported = doubters.is_empty() && self.right.lasts();
        let outcome = if supported { "supported" } else { "refused" };
        self.metrics.support.with_label_values(&[outcome]).inc();
        if supported {
            self.right.until.store((sent + RIGHT).0, Ordering::Relaxed);
            log::info!("right: supported by all others without a renewal: {error}");
            return;
        }
        let owned = owned.len();
        log::warn!("right: no renewal and no support for {owned} engines: {error}");
        for Doubter { peer, why } in doubters {
            log::info!("right: {peer} gives no support: {why}");
        }
    }

    /// Asks others until all agree or the right has ended, and returns who didn't agree.
    async fn doubters(&self, owned: &[(SocketAddr, u64)]) -> Vec<Doubter> {
        if !self.right.lasts() {
            return Vec::new();
        }
        let Some(mut asked) = self.support.others() else {
            return vec![Doubter {
                peer: self.peer.address,
                why: "no other node is known, and there were some".to_owned(),
            }];
        };
        loop {
            let doubters = self.support.doubters(&asked, owned).await;
            if doubters.is_empty() || !self.right.lasts() {
                return doubters;
            }
            tokio::time::sleep(SUPPORT_PAUSE.duration()).await;
            asked = doubters.iter().map(|doubter| doubter.peer).collect();
        }
    }
}
