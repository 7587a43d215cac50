//! The platform's store: keys, leases, watches and transactions.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, answer};
use crate::json::{Json, encode64, parse};

#[derive(Debug, Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    span: Duration,
    renewed: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision; a removed key has no item.
    changes: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

/// What becomes of a write.
#[derive(Debug, Clone)]
pub enum Deed {
    Done,
    Late(Lateness),
}

/// A write that gets no answer and is executed later, if its condition still holds.
///
/// It is done at the first moment in the span at which its node has just polled for changes, so that it
/// polls again only later, while `ahead` polls sooner and renews its lease in between.
#[derive(Debug, Clone)]
pub struct Lateness {
    pub from: Duration,
    pub until: Duration,
    pub ahead: String,
}

type Chooser = Box<dyn Fn(&str, &Json) -> Deed + Send + Sync>;
type LateHook = Box<dyn Fn(&str, Duration, u16) + Send + Sync>;
type Hook = Box<dyn Fn(&str, &Message) + Send + Sync>;

/// Polls of a node for changes.
#[derive(Debug, Default)]
struct Polls {
    waiting: usize,
    answered: Option<Instant>,
    /// When the node last renewed its lease.
    renewed: Option<Instant>,
}

/// How long ago a node that has just polled was answered at most; it pauses for 800 ms then.
const JUST: Duration = Duration::from_millis(150);

/// How long ago a node was answered at least that polls again sooner than one that has just polled.
const SOONER: Duration = Duration::from_millis(500);

/// How long ago a node renewed its lease that renews it again soon; it does so every 650 ms.
const RENEWED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(420));

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    polls: Mutex<HashMap<String, Polls>>,
    /// Decides about each transaction, by the node that sends it.
    choose: Chooser,
    /// Sees each call, by the node that sends it.
    hook: Hook,
    /// Sees each write that is done late: its node, how much later, and the status.
    late: LateHook,
}

/// How many changes one answer to a watch holds at most.
const EVENTS: usize = 400;

impl Store {
    pub fn new(choose: Chooser, hook: Hook, late: LateHook) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            polls: Mutex::default(),
            choose,
            hook,
            late,
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    /// Opens a listener for one node, so that the store knows who calls.
    pub fn listen(self: &Arc<Self>, node: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (store, node) = (Arc::clone(self), node.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, node) = (Arc::clone(&store), node.clone());
                thread::spawn(move || store.serve(&node, stream));
            }
        });
        address
    }

    /// Writes JSON as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.set(key, encode64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let leases = state.leases.iter();
        let over: Vec<u64> = leases
            .filter(|(_, lease)| lease.renewed.elapsed() >= lease.span)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            state.end_lease(lease);
        }
        self.changed.notify_all();
    }

    fn serve(self: Arc<Self>, node: &str, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(&stream);
        while let Ok(Some(request)) = reader.message(false) {
            (self.hook)(node, &request);
            let Some((status, body)) = self.respond(node, &request) else {
                // A connection on which an answer is lost returns nothing further.
                while let Ok(Some(_)) = reader.message(false) {}
                return;
            };
            let headers = [("Content-Type", "application/json")];
            let text = answer(status, &headers, &body);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(self: &Arc<Self>, node: &str, request: &Message) -> Option<(u16, String)> {
        let path = request.path().to_owned();
        let last = || path.rsplit('/').next().unwrap_or("").parse().unwrap_or(0);
        Some(match path.as_str() {
            "/v1/kv-key" => self.state().key(&request.query("key")),
            "/v1/kv-range" => self
                .state()
                .range(&request.query("prefix"), &request.query("after")),
            "/v1/kv-watch" => self.counted_watch(node, request),
            "/v1/kv-txn" => {
                let body = parse(&request.text());
                match (self.choose)(node, &body) {
                    Deed::Done => self.transact(&body),
                    Deed::Late(lateness) => {
                        let (store, node) = (Arc::clone(self), node.to_owned());
                        thread::spawn(move || store.transact_late(&node, &body, &lateness));
                        return None;
                    }
                }
            }
            "/v1/kv-lease" => {
                let span = parse(&request.text()).get("ttlMs").number();
                let mut state = self.state();
                state.next_lease += 1;
                let id = 70_000 + state.next_lease;
                let lease = Lease {
                    span: Duration::from_millis(span),
                    renewed: Instant::now(),
                };
                state.leases.insert(id, lease);
                (200, format!("{{\"lease\":{id},\"ttlMs\":{span}}}"))
            }
            _ if path.starts_with("/v1/kv-keep/") => {
                let mut polls = self.polls.lock().unwrap();
                polls.entry(node.to_owned()).or_default().renewed = Some(Instant::now());
                drop(polls);
                let mut state = self.state();
                match state.leases.get_mut(&last()) {
                    Some(lease) => {
                        lease.renewed = Instant::now();
                        (200, format!("{{\"ttlMs\":{}}}", lease.span.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ if path.starts_with("/v1/kv-lease-end/") => {
                let mut state = self.state();
                let is_known = state.leases.contains_key(&last());
                state.end_lease(last());
                self.changed.notify_all();
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn counted_watch(&self, node: &str, request: &Message) -> (u16, String) {
        self.polls
            .lock()
            .unwrap()
            .entry(node.to_owned())
            .or_default()
            .waiting += 1;
        let answer = self.watch(request);
        let mut polls = self.polls.lock().unwrap();
        let polls = polls.entry(node.to_owned()).or_default();
        polls.waiting -= 1;
        polls.answered = Some(Instant::now());
        answer
    }

    fn transact_late(&self, node: &str, body: &Json, lateness: &Lateness) {
        let sent = Instant::now();
        thread::sleep(lateness.from);
        while sent.elapsed() < lateness.until && !self.is_behind(node, &lateness.ahead) {
            thread::sleep(Duration::from_millis(2));
        }
        let (status, _) = self.transact(body);
        (self.late)(node, sent.elapsed(), status);
    }

    /// Whether a node got changes a moment ago, while another one asks for them sooner and renews its
    /// lease in between.
    fn is_behind(&self, node: &str, ahead: &str) -> bool {
        let polls = self.polls.lock().unwrap();
        let (Some(own), Some(ahead)) = (polls.get(node), polls.get(ahead)) else {
            return false;
        };
        let ago = |moment: Option<Instant>| moment.map(|moment| moment.elapsed());
        let has_just_polled = own.waiting == 0 && ago(own.answered).is_some_and(|ago| ago < JUST);
        let polls_sooner = ahead.waiting > 0 || ago(ahead.answered) > Some(SOONER);
        let is_due = |ago: Duration| (RENEWED.0..RENEWED.1).contains(&ago);
        has_just_polled && polls_sooner && ago(ahead.renewed).is_some_and(is_due)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state();
        loop {
            let news = state.changes.iter();
            let news: Vec<String> = news
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .take(EVENTS)
                .map(|(revision, key, item)| match item {
                    Some(item) => item.json(key),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                let (events, revision) = (news.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state();
        let is_expected = |row: &Json| {
            let revision = state
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.revision);
            revision == row.get("revision").number()
        };
        let expected = body.get("expected").list();
        if !expected.iter().all(is_expected) {
            let rows = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| item.json(key))
            });
            let rows: Vec<String> = rows.collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let writes = body.get("setKeys").list();
        let is_leased = |row: &Json| {
            let lease = row.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !writes.iter().all(is_leased) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in writes {
            let value = row.get("value").text().to_owned();
            state.set(row.get("key").text(), value, row.get("lease").number());
        }
        for key in body.get("deleteKeys").list() {
            state.unset(key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

impl State {
    /// Sets a key at the current revision.
    fn set(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn unset(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let items = self.items.iter().filter(|(_, item)| item.lease == lease);
        let gone: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !gone.is_empty() {
            self.revision += 1;
            for key in gone {
                self.unset(&key);
            }
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => (200, item.json(key)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let items = self.items.iter();
        let found: Vec<String> = items
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item.json(key))
            .collect();
        let has_more = found.len() > 500;
        let page: Vec<String> = found.into_iter().take(500).collect();
        let (items, revision) = (page.join(","), self.revision);
        let body =
            format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"currentRev\":{revision}}}");
        (200, body)
    }
}
