//! Callers: each keeps its connection for some requests, until the node closes it or is gone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chivevalve::clock::Millis;
use chivevalve_platform_standins::soak::wire::{self, Ask, Resumed};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::site::Site;
use super::story::ADAPTERS;
use super::{Trick, lock};

/// How long a caller waits, and how much longer it stays for a late answer.
const DEADLINE: Millis = Millis(6_000);
const PATIENCE: Duration = Duration::from_millis(6_500);
/// What a call failed by that its caller gave up.
pub const OUT_OF_TIME: &str = "out of time";
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest pause of a caller between two requests, in milliseconds.
const PAUSE: u64 = 250;
/// How often a caller takes one stream up, and what stays of it then is lost.
const MOST_AGAIN: u64 = 3;
/// Pause before another node is tried for a stream that is taken up, and how often one is.
const NEXT_TRY: Duration = Duration::from_millis(500);
const TRIES: usize = 12;
/// Pause of the caller that sends a poison request.
const COMES_AGAIN: Duration = Duration::from_millis(700);
/// Pause between different requests with a poison prompt part.
const PART_COMES_AGAIN: Duration = Duration::from_millis(350);
/// Part of the requests for which a caller takes a new connection.
const RECONNECT: f64 = 0.08;

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Call {
    pub ask: Ask,
    pub node: usize,
    /// The start of the node's process.
    pub start: u32,
    pub sent: Millis,
    pub ended: Millis,
    pub status: Option<u16>,
    /// Whether the answer came to its end.
    pub complete: bool,
    /// What broke it off.
    pub failure: Option<String>,
    /// Whether a head was signed.
    pub sealed: bool,
    /// The last event of a stream that its caller has.
    pub last_event: u64,
    /// The software version that wrote the stream.
    pub software: Option<String>,
    /// What an answer's bytes break; see [`super::answer`].
    pub wrong: Vec<(&'static str, String)>,
}

/// All calls, and whether there are to be more.
#[derive(Debug, Default)]
pub struct Calls {
    pub all: Mutex<Vec<Call>>,
    pub over: AtomicBool,
}

pub struct Link {
    node: usize,
    start: u32,
    sender: SendRequest<Full<Bytes>>,
}

/// Calls until there are to be no more.
pub async fn run(site: Arc<Site>, calls: Arc<Calls>, seed: u64, worker: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (worker + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let mut link = None;
    let mut number = 0_u64;
    while !calls.over.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(rng.random_range(5..PAUSE))).await;
        let id = format!("{seed:x}-{worker:x}-{number:x}z");
        let mut ask = ask(&mut rng, id, site.adapters());
        if site.trick == Trick::Stray {
            ask.route = "stray";
        }
        number += 1;
        if rng.random_bool(RECONNECT) {
            link = None;
        }
        let choice = rng.random_range(0..usize::MAX);
        let mut call = one(&site, &mut link, ask, choice).await;
        for again in 1..=MOST_AGAIN {
            let next = call.as_ref().and_then(|call| taken_up(call, again));
            lock(&calls.all).extend(call);
            let Some(ask) = next else {
                break;
            };
            let choice = rng.random_range(0..usize::MAX);
            call = take_up(&site, &ask, choice).await;
        }
    }
}

/// Sends a request that takes up a stream, once a node is there to take it.
async fn take_up(site: &Site, ask: &Ask, choice: usize) -> Option<Call> {
    for number in 0..TRIES {
        let choice = choice.wrapping_add(number);
        let call = one(site, &mut None, ask.clone(), choice).await;
        if call.is_some() {
            return call;
        }
        sleep(NEXT_TRY).await;
    }
    None
}

/// A request that takes up a stream which broke off and may be resumed, also one that was refused.
fn taken_up(call: &Call, again: u64) -> Option<Ask> {
    let is_cut = call.status == Some(200) && !call.complete && call.wrong.is_empty();
    let resumed = match &call.ask.resumed {
        Some(resumed) if call.status == Some(503) => resumed.clone(),
        _ if call.ask.route != "plan" || !is_cut || call.last_event == 0 => return None,
        resumed => Resumed {
            attempt: match resumed {
                Some(resumed) => resumed.attempt.clone(),
                None => call.ask.id.clone(),
            },
            after: call.last_event,
            software: call.software.clone()?,
        },
    };
    Some(Ask {
        id: format!("{}~{again}", resumed.attempt),
        resumed: Some(resumed),
        ..call.ask.clone()
    })
}

/// Sends one poison request again and again, to a node after the other.
pub async fn poison(site: Arc<Site>, calls: Arc<Calls>) {
    let mut number = 0;
    while !calls.over.load(Ordering::SeqCst) {
        sleep(COMES_AGAIN).await;
        let ask = Ask {
            id: format!("{}~{number}z", wire::POISON),
            route: "plan",
            adapter: Some("a1".to_owned()),
            deadline: DEADLINE,
            resumed: None,
        };
        let call = at(&site, number % site.nodes.len(), ask).await;
        lock(&calls.all).extend(call);
        number += 1;
    }
}

/// Sends different requests that have a poison prompt part in common, to a node after the other.
pub async fn poison_part(site: Arc<Site>, calls: Arc<Calls>) {
    let mut number = 0;
    while !calls.over.load(Ordering::SeqCst) {
        sleep(PART_COMES_AGAIN).await;
        let ask = Ask {
            id: format!("{}{number}z", wire::PART),
            route: "plan",
            adapter: Some(format!("a{}", 1 + number % ADAPTERS)),
            deadline: DEADLINE,
            resumed: None,
        };
        let node = usize::try_from(number).unwrap_or_default() % site.nodes.len();
        let call = at(&site, node, ask).await;
        lock(&calls.all).extend(call);
        number += 1;
    }
}

fn ask(rng: &mut Pcg64Mcg, id: String, adapters: u64) -> Ask {
    let route = match rng.random_range(0..20) {
        0..4 => "look",
        4..8 => "push",
        8..12 => "plan",
        12..16 => "digest",
        _ => wire::FLIP,
    };
    let engine = matches!(route, "plan" | "digest");
    // Few adapters get most requests, and all get some.
    let most = rng.random_range(1..=ADAPTERS);
    let adapter = 1 + (rng.random_range(1..=most) - 1) % adapters;
    Ask {
        id,
        route,
        adapter: engine.then(|| format!("a{adapter}")),
        deadline: DEADLINE,
        resumed: None,
    }
}

/// Sends one request; none if no connection took it.
pub async fn one(site: &Site, link: &mut Option<Link>, ask: Ask, choice: usize) -> Option<Call> {
    let open = link.take();
    let mut open = match open {
        Some(open) if !open.sender.is_closed() => open,
        _ => connect(site, chosen(site, choice)).await?,
    };
    open.sender.ready().await.ok()?;
    let mut call = Call {
        node: open.node,
        start: open.start,
        sent: site.ledger.now(),
        ended: Millis::ZERO,
        status: None,
        complete: false,
        failure: None,
        sealed: false,
        last_event: 0,
        software: None,
        wrong: Vec::new(),
        ask,
    };
    let mut body = BytesMut::new();
    let heard = timeout(PATIENCE, hear(&mut open, &mut call, &mut body)).await;
    call.ended = site.ledger.now();
    match heard {
        Ok(Ok(())) => *link = Some(open),
        Ok(Err(error)) if error.is_canceled() => return None,
        Ok(Err(error)) => call.failure = Some(format!("{error:?}")),
        Err(_) => call.failure = Some(OUT_OF_TIME.to_owned()),
    }
    match site.trick {
        Trick::Halved => body.truncate(body.len() / 2),
        Trick::Doubled => {
            let again = body.clone();
            body.extend_from_slice(&again);
        }
        _ => {}
    }
    super::answer::look(&mut call, &body);
    Some(call)
}

async fn hear(link: &mut Link, call: &mut Call, body: &mut BytesMut) -> Result<(), hyper::Error> {
    let answer = link.sender.send_request(wire::request(&call.ask)).await?;
    let (head, mut rest) = answer.into_parts();
    let said = wire::said(&head);
    call.status = Some(head.status.as_u16());
    call.sealed = said.sealed;
    if said.id.is_some_and(|id| id != call.ask.id) {
        call.wrong
            .push(("OwnAnswer", "the head names another request".to_owned()));
    }
    while let Some(frame) = rest.frame().await {
        if let Ok(data) = frame?.into_data() {
            body.extend_from_slice(&data);
        }
    }
    call.complete = true;
    Ok(())
}

/// Sends one request to a node, on a connection of its own.
pub async fn at(site: &Site, node: usize, ask: Ask) -> Option<Call> {
    let mut link = Some(connect(site, node).await?);
    one(site, &mut link, ask, node).await
}

fn chosen(site: &Site, choice: usize) -> usize {
    let ready = |node: &usize| site.nodes[*node].ready.load(Ordering::SeqCst);
    let of: Vec<usize> = (0..site.nodes.len()).filter(ready).collect();
    match of.len() {
        0 => choice % site.nodes.len(),
        ready => of[choice % ready],
    }
}

async fn connect(site: &Site, node: usize) -> Option<Link> {
    let start = site.nodes[node].starts.load(Ordering::SeqCst);
    let address: SocketAddr = site.nodes[node].callers;
    let stream = timeout(CONNECT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.ok()?;
    tokio::spawn(connection);
    Some(Link {
        node,
        start,
        sender,
    })
}
