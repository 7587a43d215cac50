//! Calls between two nodes over real loopback connections: one node forwards requests, the
//! other owns the upstream.

mod owner_fakes;
mod peer_fakes;

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use chivevalve::clock::{Millis, Monotonic};
use chivevalve::declaration::PoolKind;
use chivevalve::error::{Code, Fate};
use chivevalve::gossip::{Peer, Transport};
use chivevalve::loads;
use chivevalve::membership::VoteClient;
use chivevalve::membership::fleet::{Fleet, Owner};
use chivevalve::membership::witness::VoteRequest;
use chivevalve::peer::Clients;
use chivevalve::ports::LeaseId;
use chivevalve::runner::Reach;
use chivevalve::schema::peer::{
    AliveReply, AliveRequest, AnswerHead, Delta, Digest, Down, End, PermitDown, PermitUp,
    RenewReply, RenewRequest, SnapshotPart, SnapshotRequest, Up, down, peer_server,
};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use owner_fakes::{Bench, attempt, push, text};
use peer_fakes::{
    NoUpstreams, Node, clients, clients_with_keepalive_timeout, clients_with_short_pings,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Starts a node that owns an engine.
async fn start_owner() -> (Bench, Node) {
    let bench = Bench::start().await;
    let node = Node::start(bench.registry.clone()).await;
    (bench, node)
}

/// An owner with the given peer address.
fn owner_at(peer: SocketAddr) -> Owner {
    Owner {
        node: "b".into(),
        incarnation: 1,
        token: 1,
        peer,
    }
}

/// An owner whose connections the test accepts itself.
async fn bind_owner() -> (TcpListener, Owner) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let owner = owner_at(listener.local_addr().unwrap());
    (listener, owner)
}

/// The owner entry of a node, with the address of a relay in front of it.
fn owner_behind(node: &Node, address: SocketAddr) -> Owner {
    Owner {
        peer: address,
        ..node.owner.clone()
    }
}

#[tokio::test]
async fn run_at_peer() {
    let (bench, node) = start_owner().await;
    let runner = clients().runner(&node.owner);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    let seen = text(answer).await.unwrap();
    assert!(seen.contains("\"model\":\"template-plans\""), "{seen}");
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
    assert_eq!(bench.engine.runs(), ["r1"]);
}

/// A response that isn't streamed and exceeds the maximum message size is split into several
/// messages; sent as one, it would be rejected.
#[tokio::test]
async fn run_long_at_peer() {
    const BYTES: usize = 7 << 20;
    let (bench, node) = start_owner().await;
    bench.engine.set(|knobs| knobs.piece_bytes = BYTES);
    let runner = clients().runner(&node.owner);
    let answer = runner.run(attempt("r1", "plans", false)).await.unwrap();
    let seen = text(answer).await.map(|seen| seen.len());
    assert!(seen.clone().unwrap() > BYTES, "{seen:?}");
}

/// By default, many streams that are reset before the server accepts them look like an attack,
/// and the server closes the connection. Callers that disconnect while the peer is paused cause
/// this, and must not break the responses of others on the same connection.
#[tokio::test]
async fn run_many_gone_while_peer_pauses() {
    let (bench, node) = start_owner().await;
    bench.engine.set(|knobs| knobs.pieces = 100);
    let (address, pause) = pausable_relay(node.owner.peer).await;
    let owner = owner_behind(&node, address);
    let runner = clients().runner(&owner);
    let mut answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    answer.body.next().await.unwrap().unwrap();
    pause.send_replace(true);
    let gone: Vec<_> = (0..200)
        .map(|number| {
            let runner = Arc::clone(&runner);
            let attempt = attempt(&format!("gone-{number}"), "plans", true);
            tokio::spawn(async move { runner.run(attempt).await.map(drop) })
        })
        .collect();
    tokio::time::sleep(Millis(100).duration()).await;
    for call in &gone {
        call.abort();
    }
    tokio::time::sleep(Millis(100).duration()).await;
    pause.send_replace(false);
    let seen = text(answer).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

/// By default, the client counts frames for streams that it has reset as errors of the peer and
/// closes the connection. Callers that disconnect while their responses arrive cause this, and
/// must not break the responses of others on the same connection.
#[tokio::test]
async fn run_many_gone_while_answering() {
    let bench = Bench::with_batch(1_000).await;
    let node = Node::start(bench.registry.clone()).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let (address, pause) = pausable_relay(node.owner.peer).await;
    let owner = owner_behind(&node, address);
    let runner = clients().runner(&owner);
    let begun = (0..150).map(|number| {
        let attempt = attempt(&format!("gone-{number}"), "plans", true);
        runner.run(attempt)
    });
    let gone = futures::future::join_all(begun).await;
    assert!(gone.iter().all(Result::is_ok));
    bench.engine.set(|knobs| knobs.pieces = 100);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    pause.send_replace(true);
    drop(gone);
    tokio::time::sleep(Millis(500).duration()).await;
    pause.send_replace(false);
    let seen = text(answer).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

#[tokio::test]
async fn call_at_peer() {
    let bench = Bench::unowned();
    bench.adopt_as(PoolKind::Service, 4, 1).await;
    let node = Node::start(bench.registry.clone()).await;
    let runner = clients().runner(&node.owner);
    let answer = runner.run(push("r1", "{\"sum\":12}")).await.unwrap();
    assert_eq!(answer.head.status, 201);
    assert_eq!(answer.head.headers["x-till"], "4");
    assert_eq!(text(answer).await.unwrap(), "{\"sum\":12}");
    assert_eq!(bench.engine.runs(), ["POST /receipts?till=4"]);
}

#[tokio::test]
async fn run_refused_at_peer() {
    let node = Node::start(Arc::new(NoUpstreams)).await;
    let runner = clients().runner(&node.owner);
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::NotOwner);
    assert_eq!(failure.fate(), Fate::NotRun);
}

#[tokio::test]
async fn run_here() {
    let mut owner = Node::start(Arc::new(NoUpstreams)).await.owner;
    owner.node = "a".into();
    let runner = clients().runner(&owner);
    let failure = runner.run(attempt("r1", "plans", true));
    assert_eq!(failure.await.unwrap_err().detail, "nothing is owned here");
}

/// A request whose owner refuses the connection wasn't run and can be retried elsewhere; this
/// also holds during the backoff that follows.
#[tokio::test]
async fn run_peer_refuses_connection() {
    let (listener, owner) = bind_owner().await;
    drop(listener);
    let runner = clients().runner(&owner);
    for _ in 0..2 {
        let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
        assert_eq!(failure.code, Code::PeerUnreachable);
        assert_eq!(failure.fate(), Fate::NotRun);
        assert!(failure.retry_after.is_some());
    }
}

/// A request whose connection is reset before the response head may have run.
#[tokio::test]
async fn run_reset_before_head() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut read = [0; 1024];
        stream.readable().await.unwrap();
        let _ = stream.try_read(&mut read);
    });
    let owner = owner_at(peer);
    let runner = clients().runner(&owner);
    let failure = runner.run(attempt("r1", "plans", true));
    let failure = failure.await.unwrap_err();
    assert_eq!(failure.code, Code::PeerLost);
    assert_eq!(failure.fate(), Fate::Unknown);
}

/// A request to a paused peer fails soon with an unknown outcome, since the peer may run it when
/// it resumes.
#[tokio::test]
async fn run_at_paused_peer() {
    let (listener, owner) = bind_owner().await;
    let clients = clients_with_short_pings();
    let runner = clients.runner(&owner);
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    // The peer may read the request when it resumes, so it can't be reported as not run.
    assert_eq!(failure.code, Code::PeerLost);
    assert_eq!(failure.fate(), Fate::Unknown);
    let peer = Peer {
        name: "b".into(),
        address: owner.peer,
        region: "here".into(),
    };
    assert!(clients.exchange(&peer, Digest::default()).await.is_err());
    drop(listener);
}

/// A response that has begun survives a pause of the owner that makes requests without a
/// response fail.
#[tokio::test]
async fn run_peer_pauses_while_answering() {
    let (bench, node) = start_owner().await;
    bench.engine.set(|knobs| knobs.pieces = 100);
    let (address, pause) = pausable_relay(node.owner.peer).await;
    let owner = owner_behind(&node, address);
    let clients = clients_with_short_pings();
    let runner = clients.runner(&owner);
    let mut answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    answer.body.next().await.unwrap().unwrap();
    pause.send_replace(true);
    let waiting = runner.run(attempt("r2", "plans", true)).await;
    assert_eq!(waiting.unwrap_err().code, Code::PeerLost);
    tokio::time::sleep(Millis(500).duration()).await;
    pause.send_replace(false);
    let seen = text(answer).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
}

/// A request that isn't idempotent waits until a paused owner resumes, instead of failing with
/// an unknown outcome: it couldn't be retried elsewhere.
#[tokio::test]
async fn run_once_while_peer_pauses() {
    let (bench, node) = start_owner().await;
    let (address, pause) = pausable_relay(node.owner.peer).await;
    let owner = owner_behind(&node, address);
    let clients = clients_with_short_pings();
    let runner = clients.runner(&owner);
    let first = runner.run(attempt("r1", "plans", true)).await.unwrap();
    text(first).await.unwrap();
    pause.send_replace(true);
    let mut once = attempt("r2", "plans", true);
    once.ticket.idempotent = false;
    let wakes = async {
        let waiting = runner.run(attempt("r3", "plans", true)).await;
        assert_eq!(waiting.unwrap_err().code, Code::PeerLost);
        tokio::time::sleep(Millis(500).duration()).await;
        pause.send_replace(false);
    };
    let (answer, ()) = tokio::join!(runner.run(once), wakes);
    let seen = text(answer.unwrap()).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"), "{seen}");
    assert!(
        bench
            .engine
            .runs()
            .iter()
            .filter(|run| *run == "r2")
            .count()
            == 1
    );
}

/// A stream whose owner lost power fails after the keepalive timeout instead of hanging until
/// the caller's deadline.
#[tokio::test]
async fn run_peer_gone_while_answering() {
    let (bench, node) = start_owner().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let (address, pause) = pausable_relay(node.owner.peer).await;
    let owner = owner_behind(&node, address);
    let clients = clients_with_keepalive_timeout(Millis::from_secs(1));
    let runner = clients.runner(&owner);
    let mut answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    answer.body.next().await.unwrap().unwrap();
    pause.send_replace(true);
    let failure = text(answer).await.unwrap_err();
    assert_eq!(failure.code, Code::PeerLost);
    assert_eq!(failure.fate(), Fate::Unknown);
}

/// New requests aren't sent on a connection that has become silent, where their outcome would be
/// unknown. A new connection shows that the peer is gone, so that they count as not run.
#[tokio::test]
async fn run_next_after_silence() {
    let (listener, owner) = bind_owner().await;
    let clients = clients_with_short_pings();
    let runner = clients.runner(&owner);
    let first = runner.run(attempt("r1", "plans", true));
    let (first, accepted) = tokio::join!(first, listener.accept());
    assert_eq!(first.unwrap_err().code, Code::PeerLost);
    drop(listener);
    let failure = runner.run(attempt("r2", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::PeerUnreachable);
    assert_eq!(failure.fate(), Fate::NotRun);
    drop(accepted);
}

/// A peer that sends the end message of a response and then never closes the stream.
struct PausingPeer;

type RpcResult<T> = Result<tonic::Response<T>, tonic::Status>;
type Stream<T> = BoxStream<'static, Result<T, tonic::Status>>;

#[async_trait]
impl peer_server::Peer for PausingPeer {
    type ForwardStream = Stream<Down>;
    type PermitStream = Stream<PermitDown>;
    type SnapshotStream = Stream<SnapshotPart>;

    async fn forward(&self, _: tonic::Request<tonic::Streaming<Up>>) -> RpcResult<Stream<Down>> {
        let head = AnswerHead {
            status: 200,
            ..AnswerHead::default()
        };
        let parts = [
            down::Part::Head(head),
            down::Part::Data("whole".into()),
            down::Part::End(End::default()),
        ];
        let messages = parts.map(|part| Ok(Down { part: Some(part) }));
        let pausing = stream::iter(messages).chain(stream::pending());
        Ok(tonic::Response::new(pausing.boxed()))
    }

    async fn exchange(&self, _: tonic::Request<Digest>) -> RpcResult<Delta> {
        Err(tonic::Status::unimplemented("it only answers"))
    }

    async fn permit(
        &self,
        _: tonic::Request<tonic::Streaming<PermitUp>>,
    ) -> RpcResult<Stream<PermitDown>> {
        Err(tonic::Status::unimplemented("it only answers"))
    }

    async fn renew(&self, _: tonic::Request<RenewRequest>) -> RpcResult<RenewReply> {
        Err(tonic::Status::unimplemented("it only answers"))
    }

    async fn snapshot(
        &self,
        _: tonic::Request<SnapshotRequest>,
    ) -> RpcResult<Stream<SnapshotPart>> {
        Err(tonic::Status::unimplemented("it only answers"))
    }

    async fn alive(&self, _: tonic::Request<AliveRequest>) -> RpcResult<AliveReply> {
        Err(tonic::Status::unimplemented("it only answers"))
    }
}

/// A response is complete once its end message has arrived, even if the owner pauses and never
/// closes the stream.
#[tokio::test]
async fn run_peer_pauses_after_end() {
    let (listener, owner) = bind_owner().await;
    let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener);
    let service = peer_server::PeerServer::new(PausingPeer);
    let server = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(incoming));
    let runner = clients().runner(&owner);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    let read = tokio::time::timeout(Millis::from_secs(60).duration(), text(answer));
    assert_eq!(read.await.unwrap().unwrap(), "whole");
}

/// Relays bytes between a client and a node until the token is cancelled, which closes the
/// connections.
async fn relay(to: SocketAddr) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cut = CancellationToken::new();
    let until = cut.clone();
    tokio::spawn(async move {
        while let Ok((mut down, _)) = listener.accept().await {
            let mut up = TcpStream::connect(to).await.unwrap();
            let until = until.clone();
            tokio::spawn(async move {
                let copied = tokio::io::copy_bidirectional(&mut down, &mut up);
                let _ = until.run_until_cancelled(copied).await;
            });
        }
    });
    (address, cut)
}

/// Relays bytes between a client and a node; while it is paused, no bytes pass in either
/// direction and the connections stay open.
async fn pausable_relay(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pause = watch::Sender::new(false);
    let paused = pause.subscribe();
    tokio::spawn(async move {
        while let Ok((down, _)) = listener.accept().await {
            let up = TcpStream::connect(to).await.unwrap();
            let (from_node, to_node) = up.into_split();
            let (from_client, to_client) = down.into_split();
            tokio::spawn(forward_bytes(from_node, to_client, paused.clone()));
            tokio::spawn(forward_bytes(from_client, to_node, paused.clone()));
        }
    });
    (address, pause)
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut paused: watch::Receiver<bool>,
) {
    let mut waiting = Vec::new();
    loop {
        if paused.wait_for(|paused| !paused).await.is_err() {
            return;
        }
        if to.write_all(&waiting).await.is_err() {
            return;
        }
        waiting.clear();
        if from.read_buf(&mut waiting).await.unwrap_or(0) == 0 {
            return;
        }
    }
}

/// A response whose connection breaks midway fails, and doesn't look complete to the caller.
#[tokio::test]
async fn run_reset_after_head() {
    let (bench, node) = start_owner().await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let (address, cut) = relay(node.owner.peer).await;
    let owner = owner_behind(&node, address);
    let runner = clients().runner(&owner);
    let mut answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    answer.body.next().await.unwrap().unwrap();
    cut.cancel();
    let failure = text(answer).await.unwrap_err();
    assert_eq!(failure.code, Code::PeerLost);
    assert_eq!(failure.fate(), Fate::Unknown);
}

/// When a caller disconnects from the forwarding node, the owner frees the request's slot in
/// the engine's batch.
#[tokio::test]
async fn run_dropped_at_other_node() {
    let bench = Bench::with_batch(1).await;
    let node = Node::start(bench.registry.clone()).await;
    bench.engine.set(|knobs| knobs.pieces = 1_000_000);
    let runner = clients().runner(&node.owner);
    let mut answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    answer.body.next().await.unwrap().unwrap();
    drop(answer);
    bench.engine.set(|knobs| knobs.pieces = 1);
    let next = runner.run(attempt("r2", "plans", true)).await.unwrap();
    text(next).await.unwrap();
}

/// Responses that nobody reads fill their own stream windows, but must not use up the
/// connection's window, which would block all other responses.
#[tokio::test]
async fn run_slow_readers_hold_up_nobody() {
    let bench = Bench::with_batch(64).await;
    let node = Node::start(bench.registry.clone()).await;
    bench.engine.set(|knobs| {
        knobs.pieces = 1_000_000;
        knobs.piece_bytes = 16 << 10;
        knobs.piece_ms = Millis::ZERO;
    });
    let clients = clients();
    let runner = clients.runner(&node.owner);
    let mut unread = Vec::new();
    for number in 0..40 {
        let id = format!("slow-{number}");
        unread.push(runner.run(attempt(&id, "plans", true)).await.unwrap());
    }
    bench.engine.set(|knobs| knobs.pieces = 600);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    let seen = text(answer).await.unwrap();
    assert!(seen.len() > 600 * (16 << 10), "{}", seen.len());
}

#[tokio::test]
async fn serve_stop_finishes_answers() {
    let (bench, node) = start_owner().await;
    bench.engine.set(|knobs| knobs.pieces = 20);
    let runner = clients().runner(&node.owner);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    node.stop.cancel();
    text(answer).await.unwrap();
    node.served.await.unwrap();
}

/// A shutdown waits for responses that the engine has finished but that haven't reached the
/// forwarding node yet.
#[tokio::test]
async fn serve_stop_delivers_what_has_ended() {
    let (bench, node) = start_owner().await;
    // The response is slightly larger than the stream's flow-control window.
    bench.engine.set(|knobs| {
        knobs.piece_bytes = 30 << 10;
        knobs.piece_ms = Millis::ZERO;
    });
    let runner = clients().runner(&node.owner);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    bench.registry.wait_until_idle().await;
    node.stop.cancel();
    tokio::time::sleep(Millis(500).duration()).await;
    assert!(!node.served.is_finished());
    let seen = text(answer).await.unwrap();
    assert!(seen.ends_with("data: [DONE]\n\n"));
    node.served.await.unwrap();
}

#[tokio::test]
async fn exchange_renew_and_snapshot() {
    let node = Node::start(Arc::new(NoUpstreams)).await;
    let clients = clients();
    let peer = Peer {
        name: "b".into(),
        address: node.owner.peer,
        region: "here".into(),
    };
    let digest = Digest {
        node: "a".to_owned(),
        ..Digest::default()
    };
    let delta = clients.exchange(&peer, digest.clone()).await.unwrap();
    assert_eq!(delta.digest, Some(digest));
    let request = VoteRequest {
        node: "b".into(),
        incarnation: 1,
        lease: LeaseId(5),
        registration: 7,
        withdraw_before: Some(9),
    };
    let vote = clients.request_vote(peer.address, request).await.unwrap();
    assert!(vote.supported && vote.withdrawn && !vote.renewed);
    let parts = clients.snapshot(&peer).await.unwrap();
    assert_eq!(parts.count().await, 3);
    let bytes = &node.metrics.control_bytes;
    assert!(bytes.with_label_values(&["received"]).get() > 0);
    assert!(bytes.with_label_values(&["sent"]).get() > 0);
}

fn permit_request(name: &str) -> watch::Receiver<loads::PermitRequest> {
    watch::Sender::new(loads::PermitRequest {
        upstream: "engine-1".into(),
        adapter: owner_fakes::adapter(name),
        class: None,
        waiters: 1,
        weight: 1,
        waited: Millis::ZERO,
        stall_savings: Millis::ZERO,
    })
    .subscribe()
}

fn shared_queue(clients: &Arc<Clients>, owner: &Owner) -> Arc<loads::SharedPermitQueue> {
    let owners = [(loads::WEIGHT_STORE.into(), Arc::new(owner.clone()))];
    let fleet = Fleet::new(Vec::new(), owners.into_iter().collect());
    loads::SharedPermitQueue::start(loads::Dependencies {
        node: "a".into(),
        fleet: watch::Sender::new(Arc::new(fleet)).subscribe(),
        clients: Arc::clone(clients),
        clock: Arc::new(Monotonic::start()),
        loads_per_kilosecond: 3000,
    })
}

/// When the node that holds a permit dies, the permit is released and others may load.
#[tokio::test]
async fn permit_holder_dies() {
    let node = Node::start(Arc::new(NoUpstreams)).await;
    let (address, cut) = relay(node.owner.peer).await;
    let dying = shared_queue(&clients(), &owner_behind(&node, address));
    let permit = loads::PermitSource::acquire(&*dying, permit_request("plans"))
        .await
        .unwrap();
    cut.cancel();
    let living = shared_queue(&clients(), &node.owner);
    let next = loads::PermitSource::acquire(&*living, permit_request("faults"))
        .await
        .unwrap();
    next.done(true, Millis(300)).await;
    drop(permit);
}

/// While the queue's owner refuses connections, permits come from the node's fallback queue.
#[tokio::test]
async fn permit_owner_away() {
    let (listener, owner) = bind_owner().await;
    drop(listener);
    let queue = shared_queue(&clients(), &owner);
    let permit = loads::PermitSource::acquire(&*queue, permit_request("plans"))
        .await
        .unwrap();
    permit.done(true, Millis(300)).await;
}

/// While the queue's owner is paused, a permit request doesn't hang: the permit comes from the
/// node's fallback queue.
#[tokio::test]
async fn permit_owner_silent() {
    let (listener, owner) = bind_owner().await;
    let queue = shared_queue(&clients_with_short_pings(), &owner);
    let permit = loads::PermitSource::acquire(&*queue, permit_request("plans"));
    let permit = tokio::time::timeout(Millis::from_secs(30).duration(), permit).await;
    permit.unwrap().unwrap().done(true, Millis(300)).await;
    drop(listener);
}
