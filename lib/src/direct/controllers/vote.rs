//! Asking other nodes for their votes while the key-value service is unavailable.

use std::net::SocketAddr;

use async_trait::async_trait;
use tonic::Status;

use super::Controllers;
use crate::clock::Millis;
use crate::direct::claim::{Refusal, Voters};
use crate::schema::direct::{Owned, SupportRequest};

/// The longest that other nodes may take to vote.
const VOTE: Millis = Millis(300);

#[async_trait]
impl Voters for Controllers {
    fn others(&self) -> Option<Vec<SocketAddr>> {
        let state = self.view.state();
        let others = state.nodes.iter().filter(|(name, _)| **name != self.node);
        let peers: Vec<SocketAddr> = others.map(|(_, peer)| peer.address).collect();
        // Nobody to ask is no vote where there were others: their records
        // may have lapsed while they live.
        (!peers.is_empty() || state.max_nodes_seen <= 1).then_some(peers)
    }

    async fn refusals(&self, asked: &[SocketAddr], owned: &[(SocketAddr, u64)]) -> Vec<Refusal> {
        let request = SupportRequest {
            node: self.node.to_string(),
            owned: owned
                .iter()
                .map(|(address, token)| Owned {
                    address: address.to_string(),
                    token: *token,
                })
                .collect(),
        };
        let answers = asked.iter().map(|&peer| {
            let request = request.clone();
            async move {
                let reason = self.vote(peer, request).await.err()?;
                Some(Refusal { peer, reason })
            }
        });
        let answers = futures::future::join_all(answers).await;
        answers.into_iter().flatten().collect()
    }
}

impl Controllers {
    /// Asks one node for its vote; the error says why it gave none.
    async fn vote(&self, peer: SocketAddr, request: SupportRequest) -> Result<(), String> {
        let mut client = self.client(peer);
        let reply = tokio::time::timeout(VOTE.duration(), client.support(request)).await;
        match reply {
            Ok(Ok(reply)) if reply.get_ref().supported => Ok(()),
            Ok(Ok(_)) => Err("it sees other claims".to_owned()),
            Ok(Err(status)) if nobody_listens(&status) => Ok(()),
            Ok(Err(status)) => Err(status.message().to_owned()),
            Err(_) => Err(format!("no answer within {VOTE}")),
        }
    }
}

/// Whether the VM answered that no process listens there: the node has ended.
fn nobody_listens(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        let refused = error
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
        if refused {
            return true;
        }
        cause = error.source();
    }
    false
}
