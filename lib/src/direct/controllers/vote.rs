//! Requesting the votes of other nodes while the key-value service is unavailable.

use std::net::SocketAddr;

use async_trait::async_trait;

use super::Controllers;
use crate::clock::Millis;
use crate::direct::claim::{Refusal, Voters};
use crate::schema::direct::{Owned, SupportRequest};

/// Timeout of a vote.
const VOTE_TIMEOUT: Millis = Millis(300);

#[async_trait]
impl Voters for Controllers {
    fn others(&self) -> Option<Vec<SocketAddr>> {
        self.view.state().voters(&self.node)
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
        let votes = asked.iter().map(|&peer| {
            let request = request.clone();
            async move {
                let reason = self.request_vote(peer, request).await.err()?;
                Some(Refusal { peer, reason })
            }
        });
        let votes = futures::future::join_all(votes).await;
        votes.into_iter().flatten().collect()
    }
}

impl Controllers {
    /// Requests the vote of one node; the error says why it gave none.
    ///
    /// A refused connection is no vote. It shows that the VM runs without the node's process, or
    /// that something on the way resets connections while the node is alive.
    async fn request_vote(&self, peer: SocketAddr, request: SupportRequest) -> Result<(), String> {
        let mut client = self.client(peer);
        let reply = tokio::time::timeout(VOTE_TIMEOUT.duration(), client.support(request)).await;
        match reply {
            Ok(Ok(reply)) if reply.get_ref().supported => Ok(()),
            Ok(Ok(_)) => Err("it sees other claims".to_owned()),
            Ok(Err(status)) => Err(status.message().to_owned()),
            Err(_) => Err(format!("no answer within {VOTE_TIMEOUT}")),
        }
    }
}
