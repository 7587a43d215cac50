//! Sending records to the other nodes while the key-value service is unavailable.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use super::Controllers;
use crate::clock::Millis;
use crate::direct::outbox::PeerBroadcast;
use crate::name::Name;
use crate::schema::direct::TellRequest;

/// Timeout of sending a record to the other nodes; a node that is gone never responds.
const BROADCAST_TIMEOUT: Millis = Millis(300);

#[async_trait]
impl PeerBroadcast for Controllers {
    async fn broadcast(&self, name: &Name, value: &Bytes) {
        let others: Vec<SocketAddr> = {
            let state = self.view.state();
            let nodes = state.nodes.iter();
            let others = nodes.filter(|(name, _)| **name != self.node);
            others.map(|(_, peer)| peer.address).collect()
        };
        let calls =
            others.into_iter().map(|address| {
                let request = TellRequest {
                    name: name.to_string(),
                    value: value.to_vec(),
                };
                let mut client = self.client(address);
                async move {
                    tokio::time::timeout(BROADCAST_TIMEOUT.duration(), client.tell(request)).await
                }
            });
        let results = futures::future::join_all(calls).await;
        let received = results
            .iter()
            .filter(|one| matches!(one, Ok(Ok(_))))
            .count();
        log::info!(
            "outbox: {received} of {} other nodes received the record",
            results.len()
        );
    }
}
