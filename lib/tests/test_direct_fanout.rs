//! Fan-out of the key-value service's changes within a failure domain.

mod direct_support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_trait::async_trait;
use bytes::Bytes;
use chivevalve::clock::{Clock, Manual, Millis, Monotonic};
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::fanout::{Hub, Received, Source, Subscription, Update};
use chivevalve::direct::follow::Follower;
use chivevalve::direct::limits::SharedLimits;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::peer_server::serve;
use chivevalve::direct::tunnel;
use chivevalve::direct::view::View;
use chivevalve::name::Name;
use chivevalve::ports::poll::{self, Changes, Poll, Query};
use chivevalve::ports::{Entry, Error, Event};
use chivevalve::schema::direct::orders_client::OrdersClient;
use chivevalve::schema::direct::orders_server::{Orders, OrdersServer};
use chivevalve::schema::direct::{
    AdmitReply, AdmitRequest, Change, ExchangeReply, ExchangeRequest, FindOriginReply,
    FindOriginRequest, FollowRequest, LoadReply, LoadRequest, RecordOriginsReply,
    RecordOriginsRequest, SupportReply, SupportRequest, TellReply, TellRequest,
    Update as ProtoUpdate,
};
use chivevalve_platform::PlatformDialect;
use direct_support::SERVER;
use direct_support::listen::InProcessSource;
use direct_support::memory::MemoryStore;
use direct_support::records::peer;
use futures::StreamExt;
use futures::stream::BoxStream;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

fn put(revision: u64) -> Event {
    let key = format!("servers/i-{revision}");
    Event {
        key: key.clone(),
        entry: Some(Entry {
            key,
            value: "{}".into(),
            revision,
            created: 0,
            lease: None,
        }),
        revision,
    }
}

fn update(after: u64, revision: u64) -> Update {
    Update {
        after,
        revision,
        as_of: Millis::ZERO,
        events: (after + 1..=revision).map(put).collect(),
    }
}

fn hub() -> Hub {
    Hub::new(Arc::new(Monotonic::start()), Arc::default())
}

#[tokio::test]
async fn subscribe_gets_newer_changes_only() {
    let hub = hub();
    hub.publish(update(3, 6));
    let mut stream = Box::pin(hub.subscribe(5).unwrap());
    hub.publish(update(6, 7));
    let first = stream.next().await.unwrap().unwrap();
    let second = stream.next().await.unwrap().unwrap();
    let revisions = |message: &ProtoUpdate| -> Vec<u64> {
        message
            .changes
            .iter()
            .map(|change| change.revision)
            .collect()
    };
    assert_eq!(revisions(&first), [6]);
    assert_eq!(revisions(&second), [7]);
    assert_eq!((first.after, second.revision), (5, 7));
}

/// A subscriber whose revision is older than the backlog gets an error instead of a gap.
#[tokio::test]
async fn subscribe_gap_ends_the_stream() {
    let hub = hub();
    hub.publish(update(7, 9));
    let mut stream = Box::pin(hub.subscribe(5).unwrap());
    assert!(stream.next().await.unwrap().is_err());
    assert!(stream.next().await.is_none());
}

/// Guards against relying for too long on an update that takes long on a slow link.
#[tokio::test]
async fn subscribe_large_update_counts_its_transfer_time() {
    let hub = Hub::new(Arc::new(Manual::default()), Arc::default());
    let large = |revision| {
        let mut event = put(revision);
        let value = vec![b'x'; 200_000].into();
        event.entry.as_mut().unwrap().value = value;
        Update {
            events: vec![event],
            ..update(revision - 1, revision)
        }
    };
    let mut stream = Box::pin(hub.subscribe(0).unwrap());
    hub.publish(update(0, 1));
    hub.publish(large(2));
    let small = stream.next().await.unwrap().unwrap();
    let large = stream.next().await.unwrap().unwrap();
    assert_eq!(small.age_ms, 0);
    // The transfer time to three subscribers over a link of 10 Mbit/s that is half used.
    assert!(large.age_ms >= 950, "{}", large.age_ms);
}

/// Guards against unbounded buffering for a subscriber that doesn't read.
#[tokio::test]
async fn subscribe_slow_subscriber_is_cut_off() {
    let hub = hub();
    hub.publish(update(0, 1));
    let mut stream = Box::pin(hub.subscribe(0).unwrap());
    for revision in 1..100 {
        hub.publish(update(revision, revision + 1));
    }
    let mut received = 0;
    while let Some(Ok(_)) = stream.next().await {
        received += 1;
    }
    assert!(received < 20, "{received}");
}

/// Returns an update whose value holds a reference to `references` until it is dropped.
fn counted_update(revision: u64, bytes: usize, references: &Arc<()>) -> Update {
    struct Value(
        Vec<u8>,
        #[allow(dead_code, reason = "counts while it lives")] Arc<()>,
    );
    impl AsRef<[u8]> for Value {
        fn as_ref(&self) -> &[u8] {
            &self.0
        }
    }
    let value = Value(vec![b'x'; bytes], Arc::clone(references));
    let mut update = update(revision - 1, revision);
    let entry = update.events[0].entry.as_mut().unwrap();
    entry.value = Bytes::from_owner(value);
    update
}

/// Guards against oversized updates that fill the memory; subscribers poll the service instead.
#[tokio::test]
async fn subscribe_oversized_updates_are_not_kept() {
    let hub = hub();
    let references = Arc::new(());
    let mut stream = Box::pin(hub.subscribe(0).unwrap());
    for revision in 1..=40 {
        hub.publish(counted_update(revision, 6 << 20, &references));
        assert_eq!(Arc::strong_count(&references), 1);
    }
    // The subscriber gets an error, so that it polls the service.
    assert!(stream.next().await.unwrap().is_err());
    assert!(stream.next().await.is_none());
}

/// Guards against unbounded buffering for a subscriber whose socket is blocked.
#[tokio::test]
async fn subscribe_over_a_socket_that_is_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (publisher, _) = subscription("node-0", view(12, address));
    tokio::spawn(serve(
        listener,
        Arc::clone(&publisher),
        tunnel::Server::new(Arc::clone(&publisher)),
    ));
    let follow = async || {
        let client = OrdersClient::connect(format!("http://{address}")).await;
        let request = FollowRequest { after: 0 };
        client.unwrap().follow(request).await.unwrap().into_inner()
    };
    let (mut reader, _not_reading) = (follow().await, follow().await);
    let references = Arc::new(());
    let mut max_references = 0;
    for revision in 1..=120 {
        publisher
            .hub
            .publish(counted_update(revision, 256 << 10, &references));
        let message = reader.message().await.unwrap().unwrap();
        assert_eq!(message.revision, revision);
        max_references = max_references.max(Arc::strong_count(&references) - 1);
    }
    assert!(max_references <= 24, "{max_references}");
}

/// A node accepts a limited number of subscribers, and rejects all others.
#[tokio::test]
async fn subscribe_limits_the_number_of_subscribers() {
    let hub = hub();
    let mut streams: Vec<_> = (0..20).map_while(|_| hub.subscribe(0).ok()).collect();
    assert_eq!(streams.len(), 6);
    assert_eq!(rejection_code(&hub), tonic::Code::ResourceExhausted);
    streams.pop();
    assert!(hub.subscribe(0).is_ok());
}

/// A node that the service doesn't answer rejects subscribers, which would receive changes late.
#[tokio::test]
async fn subscribe_is_rejected_while_disconnected() {
    let hub = hub();
    hub.publish(update(0, 1));
    hub.mark_disconnected();
    assert_eq!(rejection_code(&hub), tonic::Code::Unavailable);
    hub.publish(update(1, 2));
    assert!(hub.subscribe(0).is_ok());
}

fn rejection_code(hub: &Hub) -> tonic::Code {
    hub.subscribe(0).err().expect("it is rejected").code()
}

/// The polls of one node, counted and with faults.
#[derive(Debug)]
struct CountingPoll {
    memory: Arc<MemoryStore>,
    calls: AtomicUsize,
    /// Whether calls of this node fail.
    rejects_calls: AtomicBool,
    /// Whether changes are returned in reverse order.
    unordered: AtomicBool,
}

#[async_trait]
impl Poll for CountingPoll {
    async fn changes(&self, query: Query<'_>) -> Result<Changes, poll::Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.rejects_calls.load(Ordering::Relaxed) {
            return Err(Error::NoAnswer("the test rejects calls".to_owned()).into());
        }
        let mut changes = self.memory.changes(query).await?;
        if self.unordered.load(Ordering::Relaxed) {
            changes.events.reverse();
        }
        Ok(changes)
    }
}

/// A node that consists of a follower and its hub.
struct Node {
    view: Arc<View>,
    poll: Arc<CountingPoll>,
    hub: Arc<Hub>,
    task: JoinHandle<()>,
}

impl Node {
    fn version(&self) -> u64 {
        self.view.config().map_or(0, |config| config.version)
    }

    fn calls(&self) -> usize {
        self.poll.calls.load(Ordering::Relaxed)
    }
}

/// Starts a node that subscribes to another one, or has no publisher.
fn start(memory: &Arc<MemoryStore>, publisher: Option<&Node>, extra_age: Millis) -> Node {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    let hub = Arc::new(Hub::new(Arc::clone(&clock), Arc::default()));
    let poll = Arc::new(CountingPoll {
        memory: Arc::clone(memory),
        calls: AtomicUsize::new(0),
        rejects_calls: AtomicBool::new(false),
        unordered: AtomicBool::new(false),
    });
    let hub_of_publisher = publisher.map(|node| Arc::clone(&node.hub));
    let source = InProcessSource::new(hub_of_publisher, Arc::clone(&clock), extra_age);
    let follower = Follower::new(
        Arc::<MemoryStore>::clone(memory),
        Arc::<CountingPoll>::clone(&poll),
        Arc::new(PlatformDialect),
        clock,
        Arc::clone(&view),
        Arc::new(SharedLimits::default()),
    )
    .with_fanout(Arc::clone(&hub), Box::new(source));
    Node {
        view,
        poll,
        hub,
        task: tokio::spawn(follower.run()),
    }
}

fn configure(memory: &MemoryStore, version: u64) {
    let config = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    memory.change(|state| state.put("op/config", config, None));
}

async fn sleep(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

/// The time within which the default limits require a change to take effect.
const CONFIG_APPLY_TIME: Millis = Millis(2_000);

/// Returns a leader and a node subscribed to it, which both know version 1.
async fn two_nodes(extra_age: Millis) -> (Arc<MemoryStore>, Node, Node) {
    let memory = Arc::new(MemoryStore::default());
    configure(&memory, 1);
    let leader = start(&memory, None, Millis::ZERO);
    let node = start(&memory, Some(&leader), extra_age);
    sleep(Millis::from_secs(5)).await;
    assert_eq!((leader.version(), node.version()), (1, 1));
    (memory, leader, node)
}

/// A node that subscribes to another one doesn't poll the key-value service itself.
#[tokio::test(start_paused = true)]
async fn follow_subscribes_instead_of_polling() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    let (leader_calls, node_calls) = (leader.calls(), node.calls());
    for version in 2..62 {
        configure(&memory, version);
        sleep(Millis(1_000)).await;
        assert!(node.version() + 1 >= version);
    }
    assert!(leader.calls() - leader_calls >= 50);
    assert!(node.calls() - node_calls <= 1);
}

/// Changes that the service returns out of order are still passed on, so that subscribers needn't
/// poll for themselves.
#[tokio::test(start_paused = true)]
async fn follow_service_returns_changes_out_of_order() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    leader.poll.unordered.store(true, Ordering::Relaxed);
    let node_calls = node.calls();
    for version in 2..30 {
        let draining = SERVER.replace("\"ready\"", "\"draining\"");
        memory.change(|state| state.put("servers/i-1", SERVER, None));
        memory.change(|state| state.put("servers/i-1", draining, None));
        configure(&memory, version);
        sleep(CONFIG_APPLY_TIME).await;
        for one in [&leader, &node] {
            assert_eq!(one.version(), version);
            assert!(!one.view.state().upstreams["i-1"].is_ready());
        }
    }
    assert!(node.calls() - node_calls <= 1);
}

/// A change takes effect in time although the publisher falls silent.
#[tokio::test(start_paused = true)]
async fn follow_publisher_falls_silent() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    for version in 2..8 {
        leader.task.abort();
        configure(&memory, version);
        sleep(CONFIG_APPLY_TIME).await;
        assert_eq!(node.version(), version);
    }
}

/// A change takes effect in time although the publisher, still connected, can't reach the service.
#[tokio::test(start_paused = true)]
async fn follow_publisher_disconnected_from_the_service() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    leader.poll.rejects_calls.store(true, Ordering::Relaxed);
    for version in 2..8 {
        configure(&memory, version);
        sleep(CONFIG_APPLY_TIME).await;
        assert_eq!(node.version(), version);
    }
    leader.poll.rejects_calls.store(false, Ordering::Relaxed);
    sleep(CONFIG_APPLY_TIME).await;
    assert_eq!(leader.version(), 7);
}

/// A change takes effect in time although the publisher passes it on late.
#[tokio::test(start_paused = true)]
async fn follow_old_updates_are_not_relied_on() {
    let (memory, _leader, node) = two_nodes(Millis(5_000)).await;
    let before = node.calls();
    for version in 2..8 {
        configure(&memory, version);
        sleep(CONFIG_APPLY_TIME).await;
        assert_eq!(node.version(), version);
    }
    assert!(node.calls() - before >= 6);
}

/// An update older than the known revision doesn't make a draining server ready again.
#[tokio::test(start_paused = true)]
async fn follow_older_updates_are_ignored() {
    let memory = Arc::new(MemoryStore::default());
    let leader = start(&memory, None, Millis::ZERO);
    memory.change(|state| state.put("servers/i-1", SERVER, None));
    sleep(Millis(1_500)).await;
    let draining = SERVER.replace("\"ready\"", "\"draining\"");
    assert_ne!(draining, SERVER);
    memory.change(|state| state.put("servers/i-1", draining, None));
    // It knows of the draining before it subscribes.
    let node = start(&memory, Some(&leader), Millis::ZERO);
    for _ in 0..40 {
        sleep(Millis(100)).await;
        let upstream = node.view.state().upstreams.get("i-1").cloned();
        assert!(upstream.is_none_or(|upstream| !upstream.is_ready()));
    }
}

/// Returns a view with a number of nodes of one failure domain, all at one address.
fn view(nodes: usize, address: SocketAddr) -> Arc<View> {
    let view = Arc::new(View::default());
    for number in 0..nodes {
        let name = format!("node-{number}").into();
        view.state().put_node(name, peer(address));
    }
    view
}

fn subscription(node: &str, view: Arc<View>) -> (Arc<Controllers>, Subscription) {
    subscription_by(node, view, Arc::new(Monotonic::start()))
}

fn subscription_by(
    node: &str,
    view: Arc<View>,
    clock: Arc<dyn Clock>,
) -> (Arc<Controllers>, Subscription) {
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    let controllers = Arc::new(Controllers::new(
        view,
        ownership,
        Arc::new(PlatformDialect),
        clock,
        node.into(),
        Arc::default(),
    ));
    let subscription = Subscription::new(Arc::clone(&controllers), "hall-a".into());
    (controllers, subscription)
}

#[tokio::test]
async fn subscription_over_a_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (publisher, _) = subscription("node-0", view(12, address));
    tokio::spawn(serve(
        listener,
        Arc::clone(&publisher),
        tunnel::Server::new(Arc::clone(&publisher)),
    ));
    publisher.hub.publish(update(4, 6));
    let mut polling = 0;
    for number in 0..12 {
        let name = format!("node-{number}");
        let (_controllers, mut one) = subscription(&name, view(12, address));
        assert!(one.may_have_subscribers());
        match one.next(5, Millis::from_secs(20)).await {
            Received::Update(update) => {
                assert_eq!((update.after, update.revision), (5, 6));
                assert_eq!(update.events, [put(6)]);
            }
            Received::NoSource => polling += 1,
            Received::Timeout => panic!("no update within twenty seconds"),
        }
    }
    // Two leaders poll the service.
    assert_eq!(polling, 2);
}

/// Guards against a node that has to send updates to more than three others.
#[tokio::test]
async fn subscription_limits_subscribers_of_one_node() {
    let mut subscribers: HashMap<u16, usize> = HashMap::new();
    let mut sockets = Vec::new();
    let shared = Arc::new(View::default());
    for number in 0..40 {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let name: Name = format!("node-{number}").into();
        let peer = peer(socket.local_addr().unwrap());
        shared.state().put_node(name, peer);
        sockets.push(socket);
    }
    let mut kept = Vec::new();
    for (number, socket) in sockets.into_iter().enumerate() {
        let (controllers, mut one) = subscription(&format!("node-{number}"), Arc::clone(&shared));
        tokio::spawn(serve(
            socket,
            Arc::clone(&controllers),
            tunnel::Server::new(Arc::clone(&controllers)),
        ));
        kept.push(tokio::spawn(async move {
            let received = one.next(0, Millis(1)).await;
            (one, received)
        }));
    }
    for task in kept {
        let (one, received) = task.await.unwrap();
        if received != Received::NoSource {
            let publisher = one.publisher().unwrap();
            let port = shared.state().nodes[&publisher].address.port();
            *subscribers.entry(port).or_default() += 1;
        }
    }
    assert_eq!(subscribers.values().sum::<usize>(), 38);
    assert!(
        subscribers.values().all(|number| *number <= 3),
        "{subscribers:?}"
    );
}

/// A node that sends these updates to every subscriber, and implements nothing else.
struct FakePublisher(Vec<ProtoUpdate>);

#[async_trait]
impl Orders for FakePublisher {
    type AdmitStream = BoxStream<'static, Result<AdmitReply, Status>>;
    type FollowStream = BoxStream<'static, Result<ProtoUpdate, Status>>;

    async fn follow(
        &self,
        _: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let messages: Vec<_> = self.0.iter().cloned().map(Ok).collect();
        let messages = futures::stream::iter(messages).chain(futures::stream::pending());
        Ok(Response::new(messages.boxed()))
    }

    async fn admit(
        &self,
        _: Request<Streaming<AdmitRequest>>,
    ) -> Result<Response<Self::AdmitStream>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn load(&self, _: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn tell(&self, _: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn support(&self, _: Request<SupportRequest>) -> Result<Response<SupportReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn record_origins(
        &self,
        _: Request<RecordOriginsRequest>,
    ) -> Result<Response<RecordOriginsReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn find_origin(
        &self,
        _: Request<FindOriginRequest>,
    ) -> Result<Response<FindOriginReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }

    async fn exchange(
        &self,
        _: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        Err(Status::unimplemented("not part of the test"))
    }
}

/// Returns the subscriptions of twelve nodes, all at the address of one fake publisher.
async fn subscriptions(messages: Vec<ProtoUpdate>) -> Vec<(Arc<Controllers>, Subscription)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::builder().add_service(OrdersServer::new(FakePublisher(messages)));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let node = |number| subscription(&format!("node-{number}"), view(12, address));
    (0..12).map(node).collect()
}

/// Guards against repeated subscriptions to a node whose update exceeds the message size.
#[tokio::test]
async fn subscription_oversized_update() {
    let change = Change {
        key: "servers/i-1".to_owned(),
        value: vec![b'x'; 5 << 20],
        revision: 1,
        ..Change::default()
    };
    let message = ProtoUpdate {
        revision: 1,
        changes: vec![change],
        ..ProtoUpdate::default()
    };
    let mut subscribed = 0;
    for (controllers, mut one) in subscriptions(vec![message]).await {
        for _ in 0..8 {
            assert_eq!(one.next(0, Millis::from_secs(20)).await, Received::NoSource);
        }
        let rejected = &controllers.metrics.updates_refused;
        let rejected = rejected.with_label_values(&["oversized"]).get();
        // Each possible publisher is tried once: two ancestors and the other leader.
        assert!(rejected <= 3, "{rejected}");
        subscribed += usize::from(rejected > 0);
    }
    assert_eq!(subscribed, 10);
}

/// An age longer than this node's uptime neither panics nor makes an update look new.
#[tokio::test]
async fn subscription_extreme_ages() {
    let ages = [0, 1 << 40, u64::MAX];
    let messages = ages.map(|age_ms| ProtoUpdate {
        age_ms,
        ..ProtoUpdate::default()
    });
    let mut received = 0;
    for (controllers, mut one) in subscriptions(messages.to_vec()).await {
        for age in ages {
            if let Received::Update(update) = one.next(0, Millis::from_secs(20)).await {
                assert!(update.as_of <= controllers.clock.now());
                assert!(age == 0 || update.as_of == Millis::ZERO);
                received += 1;
            }
        }
    }
    assert_eq!(received, 30);
}

#[tokio::test]
async fn subscription_few_nodes_poll_for_themselves() {
    let address = "127.0.0.1:9".parse().unwrap();
    let (_, mut one) = subscription("node-0", view(7, address));
    assert!(!one.may_have_subscribers());
    assert_eq!(one.next(0, Millis::from_secs(20)).await, Received::NoSource);
}

/// Publishers that refuse connections are avoided for a while, and the service is polled instead.
#[tokio::test]
async fn subscription_dead_publishers_are_avoided() {
    let ended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = ended.local_addr().unwrap();
    drop(ended);
    let view = view(12, address);
    for number in 0..12 {
        let (_controllers, mut node) = subscription(&format!("node-{number}"), Arc::clone(&view));
        for _ in 0..4 {
            assert_eq!(
                node.next(0, Millis::from_secs(20)).await,
                Received::NoSource
            );
        }
    }
}

/// Guards against treating an update as new that waited while this node's VM was suspended.
#[tokio::test]
async fn subscription_update_received_after_a_suspension() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (publisher, _) = subscription("node-0", view(12, address));
    tokio::spawn(serve(
        listener,
        Arc::clone(&publisher),
        tunnel::Server::new(Arc::clone(&publisher)),
    ));
    publisher.hub.publish(update(0, 1));
    let span = Millis::from_secs(2);
    for number in 0..12 {
        let clock = Arc::new(Manual::default());
        let name = format!("node-{number}");
        let (_controllers, mut one) =
            subscription_by(&name, view(12, address), Arc::clone(&clock) as _);
        if one.next(0, span).await == Received::NoSource {
            continue;
        }
        let waiting = tokio::spawn(async move { one.next(1, span).await });
        tokio::task::yield_now().await;
        clock.advance(Millis::from_secs(5));
        publisher.hub.publish(update(1, 2));
        if let Received::Update(update) = waiting.await.unwrap() {
            assert_eq!(update.as_of, Millis::ZERO);
        }
        return;
    }
    panic!("no node has subscribed");
}
