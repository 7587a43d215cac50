//! Membership as operators use it.

use std::sync::Arc;

use async_trait::async_trait;
use tokio_util::sync::CancellationToken;

use crate::membership;
use crate::operators::{Cause, Refusal, port, wire};

/// What operators see of membership, and how they drain.
#[derive(Debug)]
pub struct Port {
    /// The node's membership.
    pub membership: Arc<membership::MembershipManager>,
    /// Cancelled when the node is to stop; the program that runs it waits for this.
    pub leaving: CancellationToken,
}

#[async_trait]
impl port::Membership for Port {
    fn nodes(&self) -> Vec<wire::Peer> {
        let own = self.membership.identity().name.clone();
        let nodes = self.membership.nodes();
        let others = nodes
            .into_iter()
            .filter(|node| node.record.identity.name != own);
        others.map(peer).collect()
    }

    fn draining(&self) -> bool {
        self.leaving.is_cancelled()
    }

    fn drain_node(&self) {
        self.leaving.cancel();
    }

    async fn drain_upstream(&self, name: &str) -> Result<(), Refusal> {
        if self.membership.drain_upstream(name) {
            return Ok(());
        }
        Err(Refusal::new(
            Cause::NotFound,
            "no such upstream, or it leaves already, or too many leave at once",
            "See chivevalve status.",
        ))
    }
}

fn peer(node: membership::NodeStatus) -> wire::Peer {
    let identity = node.record.identity;
    wire::Peer {
        name: identity.name.to_string(),
        region: identity.region.to_string(),
        failure_domain: identity.failure_domain.to_string(),
        operators: Some(identity.operators),
        heard_age_ms: node.last_heard_age.map_or(u64::MAX, |age| age.0),
        draining: node.record.draining,
    }
}
