//! By whose votes an owner's term is extended, where nodes can't be asked.

mod direct_support;

use std::sync::Arc;

use chivevalve::clock::{Clock, Manual};
use chivevalve::direct::claim::Voters;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::view::View;
use direct_support::claimer::{address, controllers};

/// A node whose process has ended counts as a vote, one that doesn't respond as a refusal.
#[tokio::test]
async fn refusals_connection_refused() {
    let clock: Arc<dyn Clock> = Arc::new(Manual::default());
    let view = Arc::new(View::default());
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    let controllers = controllers("one", view, ownership, clock);
    let open = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = open.local_addr().unwrap();
    let ended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let dead = ended.local_addr().unwrap();
    drop(ended);
    let refusals = controllers
        .refusals(&[dead, silent], &[(address(), 7)])
        .await;
    let peers: Vec<_> = refusals.iter().map(|refusal| refusal.peer).collect();
    assert_eq!(peers, [silent]);
}
