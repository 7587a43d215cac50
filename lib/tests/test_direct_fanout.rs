//! Changes of the key-value service that nodes pass on within a failure domain.

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
use chivevalve::direct::view::View;
use chivevalve::name::Name;
use chivevalve::ports::poll::{self, Changes, Poll};
use chivevalve::ports::{Entry, Error, Event};
use chivevalve::schema::direct::orders_client::OrdersClient;
use chivevalve::schema::direct::orders_server::{Orders, OrdersServer};
use chivevalve::schema::direct::{
    AdmitReply, AdmitRequest, Change, ExchangeReply, ExchangeRequest, FollowRequest, LoadReply,
    LoadRequest, SupportReply, SupportRequest, TellReply, TellRequest, Update as Sent,
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
async fn listen_gets_what_is_newer_only() {
    let hub = hub();
    hub.publish(update(3, 6));
    let mut stream = Box::pin(hub.subscribe(5).unwrap());
    hub.publish(update(6, 7));
    let first = stream.next().await.unwrap().unwrap();
    let second = stream.next().await.unwrap().unwrap();
    let revisions =
        |sent: &Sent| -> Vec<u64> { sent.changes.iter().map(|change| change.revision).collect() };
    assert_eq!(revisions(&first), [6]);
    assert_eq!(revisions(&second), [7]);
    assert_eq!((first.after, second.revision), (5, 7));
}

/// A listener whose revision kept updates don't reach back to is told so, not left with a gap.
#[tokio::test]
async fn listen_gap_ends_the_stream() {
    let hub = hub();
    hub.publish(update(7, 9));
    let mut stream = Box::pin(hub.subscribe(5).unwrap());
    assert!(stream.next().await.unwrap().is_err());
    assert!(stream.next().await.is_none());
}

/// An update counts its time on a slow link, so that it isn't relied on for too long.
#[tokio::test]
async fn listen_large_update_is_older_when_it_comes() {
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
    // What three listeners take for it on a link of 10 Mbit/s that is half full.
    assert!(large.age_ms >= 950, "{}", large.age_ms);
}

/// A listener that reads nothing is cut off, instead of having updates kept without bound.
#[tokio::test]
async fn listen_slow_listener_is_cut_off() {
    let hub = hub();
    hub.publish(update(0, 1));
    let mut stream = Box::pin(hub.subscribe(0).unwrap());
    for revision in 1..100 {
        hub.publish(update(revision, revision + 1));
    }
    let mut heard = 0;
    while let Some(Ok(_)) = stream.next().await {
        heard += 1;
    }
    assert!(heard < 20, "{heard}");
}

/// A change whose value tells when nobody holds it any more.
fn counted(revision: u64, bytes: usize, held: &Arc<()>) -> Update {
    struct Value(
        Vec<u8>,
        #[allow(dead_code, reason = "counts while it lives")] Arc<()>,
    );
    impl AsRef<[u8]> for Value {
        fn as_ref(&self) -> &[u8] {
            &self.0
        }
    }
    let value = Value(vec![b'x'; bytes], Arc::clone(held));
    let mut update = update(revision - 1, revision);
    let entry = update.events[0].entry.as_mut().unwrap();
    entry.value = Bytes::from_owner(value);
    update
}

/// Updates are kept by their size: large ones don't fill memory, and listeners ask the service.
#[tokio::test]
async fn listen_oversized_updates_are_not_kept() {
    let hub = hub();
    let held = Arc::new(());
    let mut stream = Box::pin(hub.subscribe(0).unwrap());
    for revision in 1..=40 {
        hub.publish(counted(revision, 6 << 20, &held));
        assert_eq!(Arc::strong_count(&held), 1);
    }
    // Whoever listens is told that there is something to ask the service for.
    assert!(stream.next().await.unwrap().is_err());
    assert!(stream.next().await.is_none());
}

/// Updates held for a listener whose socket takes nothing are bounded.
#[tokio::test]
async fn listen_over_a_socket_that_takes_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (above, _) = subscription("node-0", view(12, address));
    tokio::spawn(serve(listener, Arc::clone(&above)));
    let follow = async || {
        let client = OrdersClient::connect(format!("http://{address}")).await;
        let request = FollowRequest { after: 0 };
        client.unwrap().follow(request).await.unwrap().into_inner()
    };
    let (mut reads, _takes_nothing) = (follow().await, follow().await);
    let held = Arc::new(());
    let mut most = 0;
    for revision in 1..=120 {
        above.hub.publish(counted(revision, 256 << 10, &held));
        let sent = reads.message().await.unwrap().unwrap();
        assert_eq!(sent.revision, revision);
        most = most.max(Arc::strong_count(&held) - 1);
    }
    assert!(most <= 24, "{most}");
}

/// A node passes updates on to a bounded number of listeners, and refuses all others.
#[tokio::test]
async fn listen_refuses_more_than_it_can_serve() {
    let hub = hub();
    let mut streams: Vec<_> = (0..20).map_while(|_| hub.subscribe(0).ok()).collect();
    assert_eq!(streams.len(), 6);
    assert_eq!(refused(&hub), tonic::Code::ResourceExhausted);
    streams.pop();
    assert!(hub.subscribe(0).is_ok());
}

/// A node that the service doesn't answer refuses listeners, which would hear of changes late.
#[tokio::test]
async fn listen_refuses_while_it_hears_nothing_itself() {
    let hub = hub();
    hub.publish(update(0, 1));
    hub.mark_disconnected();
    assert_eq!(refused(&hub), tonic::Code::Unavailable);
    hub.publish(update(1, 2));
    assert!(hub.subscribe(0).is_ok());
}

fn refused(hub: &Hub) -> tonic::Code {
    hub.subscribe(0).err().expect("it is refused").code()
}

/// The service as one node asks it.
#[derive(Debug)]
struct Asked {
    memory: Arc<MemoryStore>,
    calls: AtomicUsize,
    /// Whether the service turns this node away.
    cut: AtomicBool,
    /// Whether the service tells changes in an order of its own.
    disordered: AtomicBool,
}

#[async_trait]
impl Poll for Asked {
    async fn changes(
        &self,
        prefix: &str,
        revision: u64,
        wait: Millis,
    ) -> Result<Changes, poll::Error> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        if self.cut.load(Ordering::Relaxed) {
            return Err(Error::NoAnswer("the test cut it off".to_owned()).into());
        }
        let mut changes = self.memory.changes(prefix, revision, wait).await?;
        if self.disordered.load(Ordering::Relaxed) {
            changes.events.reverse();
        }
        Ok(changes)
    }
}

/// A node's follower.
struct Node {
    view: Arc<View>,
    asked: Arc<Asked>,
    hub: Arc<Hub>,
    task: JoinHandle<()>,
}

impl Node {
    fn version(&self) -> u64 {
        self.view.config().map_or(0, |config| config.version)
    }

    fn calls(&self) -> usize {
        self.asked.calls.load(Ordering::Relaxed)
    }
}

/// Starts a node that listens to another one, or is listened to.
fn start(memory: &Arc<MemoryStore>, listens_to: Option<&Node>, older: Millis) -> Node {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    let hub = Arc::new(Hub::new(Arc::clone(&clock), Arc::default()));
    let asked = Arc::new(Asked {
        memory: Arc::clone(memory),
        calls: AtomicUsize::new(0),
        cut: AtomicBool::new(false),
        disordered: AtomicBool::new(false),
    });
    let hears = listens_to.map(|node| Arc::clone(&node.hub));
    let source = InProcessSource::new(hears, Arc::clone(&clock), older);
    let follower = Follower::new(
        Arc::<MemoryStore>::clone(memory),
        Arc::<Asked>::clone(&asked),
        Arc::new(PlatformDialect),
        clock,
        Arc::clone(&view),
        Arc::new(SharedLimits::default()),
    )
    .with_fanout(Arc::clone(&hub), Box::new(source));
    Node {
        view,
        asked,
        hub,
        task: tokio::spawn(follower.run()),
    }
}

fn configure(memory: &MemoryStore, version: u64) {
    let config = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    memory.change(|state| state.put("op/config", config, None));
}

async fn pass(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

/// The time within which the default bounds want a change in force.
const IN_FORCE: Millis = Millis(2_000);

/// A leader and a node that listens to it, which know version 1.
async fn two_nodes(older: Millis) -> (Arc<MemoryStore>, Node, Node) {
    let memory = Arc::new(MemoryStore::default());
    configure(&memory, 1);
    let leader = start(&memory, None, Millis::ZERO);
    let node = start(&memory, Some(&leader), older);
    pass(Millis::from_secs(5)).await;
    assert_eq!((leader.version(), node.version()), (1, 1));
    (memory, leader, node)
}

/// A node that listens to another one makes no calls of its own to the key-value service.
#[tokio::test(start_paused = true)]
async fn follow_listens_instead_of_asking() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    let (led, listened) = (leader.calls(), node.calls());
    for version in 2..62 {
        configure(&memory, version);
        pass(Millis(1_000)).await;
        assert!(node.version() + 1 >= version);
    }
    assert!(leader.calls() - led >= 50);
    assert!(node.calls() - listened <= 1);
}

/// Changes that the service sorts by key are passed on, and listeners needn't ask for themselves.
#[tokio::test(start_paused = true)]
async fn follow_service_tells_changes_in_an_order_of_its_own() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    leader.asked.disordered.store(true, Ordering::Relaxed);
    let listened = node.calls();
    for version in 2..30 {
        let draining = SERVER.replace("\"ready\"", "\"draining\"");
        memory.change(|state| state.put("servers/i-1", SERVER, None));
        memory.change(|state| state.put("servers/i-1", draining, None));
        configure(&memory, version);
        pass(IN_FORCE).await;
        for one in [&leader, &node] {
            assert_eq!(one.version(), version);
            assert!(!one.view.state().upstreams["i-1"].is_ready());
        }
    }
    assert!(node.calls() - listened <= 1);
}

/// A change is in force in time though the node that passes changes on falls silent.
#[tokio::test(start_paused = true)]
async fn follow_leader_falls_silent() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    for version in 2..8 {
        leader.task.abort();
        configure(&memory, version);
        pass(IN_FORCE).await;
        assert_eq!(node.version(), version);
    }
}

/// A change is in force in time though the leader, still connected, is cut off from the service.
#[tokio::test(start_paused = true)]
async fn follow_leader_cut_off_from_the_service() {
    let (memory, leader, node) = two_nodes(Millis::ZERO).await;
    leader.asked.cut.store(true, Ordering::Relaxed);
    for version in 2..8 {
        configure(&memory, version);
        pass(IN_FORCE).await;
        assert_eq!(node.version(), version);
    }
    leader.asked.cut.store(false, Ordering::Relaxed);
    pass(IN_FORCE).await;
    assert_eq!(leader.version(), 7);
}

/// A change is in force in time though the leader passes it on late.
#[tokio::test(start_paused = true)]
async fn follow_old_updates_are_not_relied_on() {
    let (memory, _leader, node) = two_nodes(Millis(5_000)).await;
    let before = node.calls();
    for version in 2..8 {
        configure(&memory, version);
        pass(IN_FORCE).await;
        assert_eq!(node.version(), version);
    }
    assert!(node.calls() - before >= 6);
}

/// An update that is older than what a node knows doesn't make a draining server ready again.
#[tokio::test(start_paused = true)]
async fn follow_older_updates_change_nothing() {
    let memory = Arc::new(MemoryStore::default());
    let leader = start(&memory, None, Millis::ZERO);
    memory.change(|state| state.put("servers/i-1", SERVER, None));
    pass(Millis(1_500)).await;
    let draining = SERVER.replace("\"ready\"", "\"draining\"");
    assert_ne!(draining, SERVER);
    memory.change(|state| state.put("servers/i-1", draining, None));
    // It knows of the draining before it begins to listen.
    let node = start(&memory, Some(&leader), Millis::ZERO);
    for _ in 0..40 {
        pass(Millis(100)).await;
        let upstream = node.view.state().upstreams.get("i-1").cloned();
        assert!(upstream.is_none_or(|upstream| !upstream.is_ready()));
    }
}

/// A node's view in which so many nodes of one failure domain are at an address.
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
async fn subscription_hears_over_a_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (above, _) = subscription("node-0", view(12, address));
    tokio::spawn(serve(listener, Arc::clone(&above)));
    above.hub.publish(update(4, 6));
    let mut asking = 0;
    for number in 0..12 {
        let name = format!("node-{number}");
        let (_controllers, mut one) = subscription(&name, view(12, address));
        assert!(one.may_have_subscribers());
        match one.next(5, Millis::from_secs(20)).await {
            Received::Update(update) => {
                assert_eq!((update.after, update.revision), (5, 6));
                assert_eq!(update.events, [put(6)]);
            }
            Received::NoSource => asking += 1,
            Received::Timeout => panic!("nothing within twenty seconds"),
        }
    }
    // Two ask the service for all.
    assert_eq!(asking, 2);
}

/// No node of a failure domain has to send updates to more than three others.
#[tokio::test]
async fn subscription_few_listen_to_one_node() {
    let mut listeners: HashMap<u16, usize> = HashMap::new();
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
        tokio::spawn(serve(socket, Arc::clone(&controllers)));
        kept.push(tokio::spawn(async move {
            let heard = one.next(0, Millis(1)).await;
            (one, heard)
        }));
    }
    for task in kept {
        let (one, heard) = task.await.unwrap();
        if heard != Received::NoSource {
            let above = one.publisher().unwrap();
            let port = shared.state().nodes[&above].address.port();
            *listeners.entry(port).or_default() += 1;
        }
    }
    assert_eq!(listeners.values().sum::<usize>(), 38);
    assert!(
        listeners.values().all(|number| *number <= 3),
        "{listeners:?}"
    );
}

/// A node of which only the passing on of changes is played.
struct Other(Vec<Sent>);

#[async_trait]
impl Orders for Other {
    type AdmitStream = BoxStream<'static, Result<AdmitReply, Status>>;
    type FollowStream = BoxStream<'static, Result<Sent, Status>>;

    async fn follow(
        &self,
        _: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let sent: Vec<_> = self.0.iter().cloned().map(Ok).collect();
        let sent = futures::stream::iter(sent).chain(futures::stream::pending());
        Ok(Response::new(sent.boxed()))
    }

    async fn admit(
        &self,
        _: Request<Streaming<AdmitRequest>>,
    ) -> Result<Response<Self::AdmitStream>, Status> {
        Err(Status::unimplemented("not played"))
    }

    async fn load(&self, _: Request<LoadRequest>) -> Result<Response<LoadReply>, Status> {
        Err(Status::unimplemented("not played"))
    }

    async fn tell(&self, _: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        Err(Status::unimplemented("not played"))
    }

    async fn support(&self, _: Request<SupportRequest>) -> Result<Response<SupportReply>, Status> {
        Err(Status::unimplemented("not played"))
    }

    async fn exchange(
        &self,
        _: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        Err(Status::unimplemented("not played"))
    }
}

/// Twelve nodes, all at the address of one that passes these on.
async fn listeners(sent: Vec<Sent>) -> Vec<(Arc<Controllers>, Subscription)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::builder().add_service(OrdersServer::new(Other(sent)));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let node = |number| subscription(&format!("node-{number}"), view(12, address));
    (0..12).map(node).collect()
}

/// A node whose update is too large to be read isn't asked for it again and again.
#[tokio::test]
async fn subscription_oversized_update() {
    let change = Change {
        key: "servers/i-1".to_owned(),
        value: vec![b'x'; 5 << 20],
        revision: 1,
        ..Change::default()
    };
    let sent = Sent {
        revision: 1,
        changes: vec![change],
        ..Sent::default()
    };
    let mut listen = 0;
    for (controllers, mut one) in listeners(vec![sent]).await {
        for _ in 0..8 {
            assert_eq!(one.next(0, Millis::from_secs(20)).await, Received::NoSource);
        }
        let refused = &controllers.metrics.updates_refused;
        let refused = refused.with_label_values(&["oversized"]).get();
        // Each that it may listen to is asked once: two above it and the other leader.
        assert!(refused <= 3, "{refused}");
        listen += usize::from(refused > 0);
    }
    assert_eq!(listen, 10);
}

/// An age longer than this node has run neither panics nor makes an update look new.
#[tokio::test]
async fn subscription_absurd_ages() {
    let ages = [0, 1 << 40, u64::MAX];
    let sent = ages.map(|age_ms| Sent {
        age_ms,
        ..Sent::default()
    });
    let mut heard = 0;
    for (controllers, mut one) in listeners(sent.to_vec()).await {
        for age in ages {
            if let Received::Update(update) = one.next(0, Millis::from_secs(20)).await {
                assert!(update.as_of <= controllers.clock.now());
                assert!(age == 0 || update.as_of == Millis::ZERO);
                heard += 1;
            }
        }
    }
    assert_eq!(heard, 30);
}

#[tokio::test]
async fn subscription_few_nodes_ask_for_themselves() {
    let address = "127.0.0.1:9".parse().unwrap();
    let (_, mut one) = subscription("node-0", view(7, address));
    assert!(!one.may_have_subscribers());
    assert_eq!(one.next(0, Millis::from_secs(20)).await, Received::NoSource);
}

/// Leaders that refuse connections aren't asked again at once; the service is asked instead.
#[tokio::test]
async fn subscription_dead_leaders_are_left_alone() {
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

/// An update that waited while this node's VM was suspended isn't taken for new.
#[tokio::test]
async fn subscription_update_behind_a_suspension() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (above, _) = subscription("node-0", view(12, address));
    tokio::spawn(serve(listener, Arc::clone(&above)));
    above.hub.publish(update(0, 1));
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
        above.hub.publish(update(1, 2));
        if let Received::Update(update) = waiting.await.unwrap() {
            assert_eq!(update.as_of, Millis::ZERO);
        }
        return;
    }
    panic!("no node listens");
}
