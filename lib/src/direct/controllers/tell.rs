//! Records for other nodes while the key-value service is away.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;

use super::Controllers;
use crate::clock::Millis;
use crate::direct::outbox::PeerBroadcast;
use crate::name::Name;
use crate::schema::direct::TellRequest;

/// The longest that other nodes may take to hear; one that is gone answers nothing.
const TELL: Millis = Millis(300);

#[async_trait]
impl PeerBroadcast for Controllers {
    async fn broadcast(&self, name: &Name, value: &Bytes) {
        let others: Vec<SocketAddr> = {
            let state = self.view.state();
            let nodes = state.nodes.iter();
            let others = nodes.filter(|(name, _)| **name != self.node);
            others.map(|(_, peer)| peer.address).collect()
        };
        let telling = others.into_iter().map(|address| {
            let request = TellRequest {
                name: name.to_string(),
                value: value.to_vec(),
            };
            let mut client = self.client(address);
            async move { tokio::time::timeout(TELL.duration(), client.tell(request)).await }
        });
        let told = futures::future::join_all(telling).await;
        let heard = told.iter().filter(|one| matches!(one, Ok(Ok(_)))).count();
        log::info!("outbox: {heard} of {} other nodes were told", told.len());
    }
}
