//! Tests the client of the key-value service against a fake service, over sockets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chivevalve::clock::Millis;
use chivevalve::metrics::Metrics;
use chivevalve::ports::etcd::Client;
use chivevalve::ports::{Condition, Error, Lease, LeaseId, Store, Transaction, Watch, Write};
use chivevalve_standins::serve::Server;
use chivevalve_standins::store::{Knobs, Store as Standin};
use futures::StreamExt;

const TIMEOUT: Millis = Millis(500);

struct Setup {
    standin: Arc<Standin>,
    server: Server,
    metrics: Arc<Metrics>,
    client: Client,
}

async fn setup() -> Setup {
    let standin = Standin::start();
    let server = Server::start(Arc::clone(&standin) as _).await.unwrap();
    let metrics = Arc::new(Metrics::new());
    let client = Client::new(vec![server.addr()], TIMEOUT, Arc::clone(&metrics));
    Setup {
        standin,
        server,
        metrics,
        client,
    }
}

fn create(key: &str, value: &'static str, lease: Option<LeaseId>) -> Transaction {
    Transaction {
        conditions: vec![Condition::Absent(key.to_owned())],
        writes: vec![Write::Put(
            key.to_owned(),
            Bytes::from_static(value.as_bytes()),
            lease,
        )],
    }
}

#[tokio::test]
async fn commit_conditions() {
    let setup = setup().await;
    let client = &setup.client;
    let first = client.commit(create("p/a", "1", None)).await.unwrap();
    assert!(first.done);
    assert!(!client.commit(create("p/a", "2", None)).await.unwrap().done);
    let replace = |revision| Transaction {
        conditions: vec![Condition::Unchanged("p/a".to_owned(), revision)],
        writes: vec![Write::Put("p/a".to_owned(), Bytes::from_static(b"3"), None)],
    };
    assert!(client.commit(replace(first.revision)).await.unwrap().done);
    assert!(!client.commit(replace(first.revision)).await.unwrap().done);
    let entry = client.get("p/a").await.unwrap().unwrap();
    assert_eq!(entry.value, "3");
    let listing = client.list("p/").await.unwrap();
    assert_eq!(listing.entries, vec![entry]);
    assert_eq!(client.get("p/b").await.unwrap(), None);
}

#[tokio::test]
async fn lease_revoked_deletes_keys() {
    let setup = setup().await;
    let lease = setup.client.grant(Millis(1_500)).await.unwrap();
    assert_eq!(setup.client.renew(lease).await.unwrap(), Millis(2_000));
    let made = setup.client.commit(create("p/n", "1", Some(lease))).await;
    assert!(made.unwrap().done);
    setup.client.revoke(lease).await.unwrap();
    assert_eq!(setup.client.get("p/n").await.unwrap(), None);
    assert_eq!(setup.client.renew(lease).await.unwrap(), Millis::ZERO);
}

#[tokio::test(start_paused = true)]
async fn lease_expires_in_virtual_time() {
    let standin = Standin::start();
    let lease = standin.grant(Millis(300)).await.unwrap();
    let made = standin.commit(create("n", "1", Some(lease))).await;
    assert!(made.unwrap().done);
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(standin.get("n").await.unwrap(), None);
}

#[tokio::test]
async fn watch_sends_past_and_new_changes() {
    let setup = setup().await;
    let before = setup.client.list("p/").await.unwrap().revision;
    setup.client.commit(create("p/a", "1", None)).await.unwrap();
    let mut events = setup.client.watch("p/", before).await.unwrap();
    let first_change = events.next().await.unwrap().unwrap();
    assert_eq!(first_change.entry.unwrap().value, "1");
    let delete = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Delete("p/a".to_owned())],
    };
    let commit = setup.client.commit(delete).await.unwrap();
    let removed = events.next().await.unwrap().unwrap();
    assert_eq!((removed.entry, removed.revision), (None, commit.revision));
}

/// A watch from a compacted revision must end with an error; otherwise changes would be missed.
#[tokio::test]
async fn watch_compacted() {
    let setup = setup().await;
    setup.client.commit(create("p/a", "1", None)).await.unwrap();
    setup.standin.compact();
    let mut events = setup.client.watch("p/", 0).await.unwrap();
    let ended = events.next().await.unwrap();
    assert!(matches!(ended, Err(Error::Refused(_))), "{ended:?}");
    assert!(events.next().await.is_none());
}

/// A watch must end with an error when the service stops, rather than look like no change.
#[tokio::test]
async fn watch_service_stops() {
    let setup = setup().await;
    let mut events = setup.client.watch("p/", 0).await.unwrap();
    setup.server.stop().await;
    let ended = events.next().await.unwrap();
    assert!(matches!(ended, Err(Error::NoAnswer(_))), "{ended:?}");
}

/// If the response to a write is lost, the client must report `NoAnswer` and not retry the write.
#[tokio::test]
async fn commit_response_lost() {
    let setup = setup().await;
    setup.standin.set(Knobs {
        lose_answers: 1,
        ..Knobs::default()
    });
    let lost = setup.client.commit(create("p/a", "1", None)).await;
    assert!(matches!(lost, Err(Error::NoAnswer(_))), "{lost:?}");
    assert!(setup.client.get("p/a").await.unwrap().is_some());
    assert_eq!(
        setup.standin.counts().writes,
        1,
        "the client repeated a write"
    );
}

#[tokio::test]
async fn call_timeout() {
    let setup = setup().await;
    setup.standin.set(Knobs {
        slow_ms: 60_000,
        ..Knobs::default()
    });
    let late = setup.client.get("p/a").await;
    assert!(matches!(late, Err(Error::NoAnswer(_))), "{late:?}");
    let counted = setup
        .metrics
        .store_calls
        .with_label_values(&["range", "no_answer"]);
    assert_eq!(counted.get(), 1);
}

#[tokio::test]
async fn call_service_down_and_back() {
    let setup = setup().await;
    setup.client.get("p/a").await.unwrap();
    setup.server.stop().await;
    // On a pooled connection the call could end with `NoAnswer`; a new client has none.
    let client = Client::new(
        vec![setup.server.addr()],
        TIMEOUT,
        Arc::clone(&setup.metrics),
    );
    let refused = client.commit(create("p/a", "1", None)).await;
    assert!(matches!(refused, Err(Error::Unreachable(_))), "{refused:?}");
    setup.server.resume().await.unwrap();
    setup.client.get("p/a").await.unwrap();
}

#[tokio::test]
async fn call_other_address() {
    let setup = setup().await;
    let gone = Server::start(Standin::start() as _).await.unwrap();
    gone.stop().await;
    let addresses = vec![gone.addr(), setup.server.addr()];
    let client = Client::new(addresses, TIMEOUT, Arc::clone(&setup.metrics));
    assert!(client.commit(create("p/a", "1", None)).await.unwrap().done);
}

#[tokio::test]
async fn call_rate_limited() {
    let setup = setup().await;
    setup.standin.set(Knobs {
        rate: 1,
        ..Knobs::default()
    });
    let mut refused = 0;
    for _ in 0..3 {
        if let Err(Error::Refused(_)) = setup.client.get("p/a").await {
            refused += 1;
        }
    }
    assert!(refused >= 1);
    assert_eq!(setup.standin.counts().limited, refused);
}

/// The fake service rejects the transactions that the real service rejects.
#[tokio::test]
async fn commit_rejected_as_in_service() {
    let setup = setup().await;
    let put = |key: &str| Write::Put(key.to_owned(), Bytes::new(), None);
    let many = (0..129).map(|number| put(&number.to_string())).collect();
    for writes in [vec![put("a"), put("a")], many] {
        let transaction = Transaction {
            conditions: Vec::new(),
            writes,
        };
        let refused = setup.client.commit(transaction).await;
        assert!(matches!(refused, Err(Error::Refused(_))), "{refused:?}");
    }
}
