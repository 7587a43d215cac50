//! Cases about which node gives a model server its orders.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::engine::{Engine, Order};
use crate::http;
use crate::json::Json;
use crate::node::Node;
use crate::record::{Draw, Record};
use crate::store::{Deed, Lateness, Store};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Least time between orders of two holders to one server (`leaseMs`).
const LEASE: Duration = Duration::from_millis(3_000);

/// Time between two looks of a server at its entry; each has its own moment (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Configuration with one streaming route to the model servers.
pub const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-chat","hostname":"app.example","prefix":"/chat/","kind":"streaming","timeoutMs":15000,"goalMs":1000,"priority":1,"service":"engines","maxAttempts":2,"stickySessions":true,"resumable":true,"gapTargetMs":250}],"services":[{"name":"engines","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":141396,"kvTokenBytes":327680,"linkMbps":740000.0,"moves":true,"backups":true,"stride":3,"maxCount":12,"hostMb":130000.0,"diskMb":400000.0,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"base","weightsMb":65500.0,"loadS":2.9,"adapters":3000,"adapterMb":40.0,"warmS":0.57,"diskS":1.2}],"weightsMb":67600.0,"adapterSlots":20,"loadsPerS":3.1}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A request for an adapter of the model.
fn request(id: &str, adapter: u64) -> String {
    format!(
        "POST /chat/x HTTP/1.1\r\nHost: app.example\r\nRequest-Attempt: {id}\r\n\
         Model: base/a{adapter}\r\nToken-Count: 300,20\r\nPrompt-Prefix: {:x}:200,{id}:100\r\n\
         Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
        adapter + 0x1000
    )
}

/// Nodes, model servers and clients around one store.
struct World {
    record: Arc<Record>,
    store: Arc<Store>,
    nodes: Vec<Arc<Node>>,
    engines: Vec<Arc<Engine>>,
    outcomes: Arc<Mutex<BTreeMap<u16, usize>>>,
    /// Whether clients ask for rare adapters, which have to be loaded.
    is_burst: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
}

/// Adapters that are asked for all the time, and all that are asked for in a burst.
const COMMON: u64 = 40;
const RARE: u64 = 2_000;

impl World {
    fn start(record: Arc<Record>, store: Arc<Store>, number: usize) -> Self {
        let (first_node, first_engine) = (number * NODES, number * ENGINES);
        let start = record.start;
        store.put("op/config", CONFIG);
        let engines: Vec<Arc<Engine>> = (0..ENGINES)
            .map(|number| Engine::start(&format!("i-engine{}", first_engine + number), start))
            .collect();
        for (number, engine) in engines.iter().enumerate() {
            let entry = engine.entry("engines", ZONES[number % ZONES.len()]);
            store.put(&format!("servers/{}", engine.id), &entry);
        }
        let nodes: Vec<Arc<Node>> = (0..NODES)
            .map(|number| {
                let name = format!("front-{}", first_node + number);
                let address = store.listen(&name);
                Arc::new(Node::new(
                    &name,
                    ZONES[number % ZONES.len()],
                    (first_node + number) as u8 + 1,
                    address,
                ))
            })
            .collect();
        // They start within 0.3 s of each other.
        for node in &nodes {
            node.start();
            thread::sleep(Duration::from_millis(140));
        }
        Self {
            record,
            store,
            nodes,
            engines,
            outcomes: Arc::default(),
            is_burst: Arc::default(),
            stop: Arc::default(),
        }
    }

    fn wait_ready(&self) -> bool {
        self.nodes.iter().all(|node| node.wait_ready())
    }

    /// Writes the entries of model servers anew as they change, at each heartbeat.
    fn beat(&self) {
        let (store, engines, stop) = (
            Arc::clone(&self.store),
            self.engines.clone(),
            Arc::clone(&self.stop),
        );
        thread::spawn(move || {
            let mut last = vec![String::new(); engines.len()];
            while !stop.load(Ordering::SeqCst) {
                for (number, engine) in engines.iter().enumerate() {
                    let entry = engine.entry("engines", ZONES[number % ZONES.len()]);
                    if entry != last[number] {
                        store.put(&format!("servers/{}", engine.id), &entry);
                        last[number] = entry;
                    }
                    thread::sleep(HEARTBEAT / engines.len() as u32);
                }
            }
        });
    }

    /// Starts clients that ask for many adapters at the nodes that are ready.
    fn traffic(&self, clients: u64, pause: Duration) {
        let ready: Arc<Mutex<Vec<SocketAddr>>> = Arc::default();
        let (nodes, stop, shown) = (
            self.nodes.clone(),
            Arc::clone(&self.stop),
            Arc::clone(&ready),
        );
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let fronts = nodes
                    .iter()
                    .filter(|node| node.is_ready())
                    .map(|node| node.front);
                let fronts = fronts.collect();
                *shown.lock().unwrap() = fronts;
                thread::sleep(Duration::from_millis(200));
            }
        });
        let sent = Arc::new(AtomicU64::new(1));
        for client in 0..clients {
            let (ready, stop, sent) = (
                Arc::clone(&ready),
                Arc::clone(&self.stop),
                Arc::clone(&sent),
            );
            let (outcomes, is_burst) = (Arc::clone(&self.outcomes), Arc::clone(&self.is_burst));
            thread::spawn(move || {
                let mut draw = Draw::new(client + 11);
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(pause);
                    let fronts = ready.lock().unwrap().clone();
                    if fronts.is_empty() {
                        continue;
                    }
                    let front = fronts[draw.next() as usize % fronts.len()];
                    let id = format!(
                        "{:016x}",
                        0xabc0_0000_0000 + sent.fetch_add(1, Ordering::SeqCst)
                    );
                    let of = if is_burst.load(Ordering::SeqCst) {
                        RARE
                    } else {
                        COMMON
                    };
                    let request = request(&id, draw.next() % of);
                    let answer = http::call(front, &request, Duration::from_secs(6));
                    let status = match answer {
                        Ok(Some(answer)) => answer.status(),
                        _ => 0,
                    };
                    *outcomes.lock().unwrap().entry(status).or_default() += 1;
                }
            });
        }
    }

    /// Returns all orders by time.
    fn orders(&self) -> Vec<Order> {
        let mut orders = Vec::new();
        for engine in &self.engines {
            orders.extend(engine.orders.lock().unwrap().iter().cloned());
        }
        orders.sort_by_key(|order| order.at);
        orders
    }

    /// Records the orders, and returns those that break the rule: a lower fencing token after a
    /// higher one, or one holder's order behind another's behind its own within the least time.
    fn judge(&self) -> Vec<String> {
        let orders = self.orders();
        let mut found = Vec::new();
        let mut changes = 0;
        for engine in &self.engines {
            let of_engine = orders.iter().filter(|order| order.engine == engine.id);
            let of_engine: Vec<&Order> = of_engine.collect();
            let mut highest: Option<&Order> = None;
            for (place, order) in of_engine.iter().enumerate() {
                if let Some(highest) = highest
                    && order.token < highest.token
                {
                    found.push(format!(
                        "lower token: {}, then {}",
                        highest.told(),
                        order.told()
                    ));
                }
                if highest.is_none_or(|highest| highest.token < order.token) {
                    highest = Some(order);
                }
                let Some(between) = place.checked_sub(1).map(|place| of_engine[place]) else {
                    continue;
                };
                if between.holder == order.holder {
                    continue;
                }
                if order.at - between.at < LEASE {
                    changes += 1;
                }
                let earlier = of_engine[..place - 1].iter().rev();
                let mut own = earlier.filter(|earlier| earlier.holder == order.holder);
                if let Some(own) = own.next()
                    && order.at - own.at < LEASE
                {
                    let (one, two, three) = (own.told(), between.told(), order.told());
                    found.push(format!("turns: {one}, then {two}, then {three}"));
                }
            }
        }
        let told = "times a server got an order of another holder within leaseMs of the last one";
        self.record.add(format!("{changes} {told}"));
        for order in orders {
            let Order {
                engine,
                holder,
                token,
                text,
                status,
                ..
            } = order;
            self.record.add_at(
                order.at,
                format!("{engine} got from {holder} with token {token}: {text}, answered {status}"),
            );
        }
        for engine in &self.engines {
            let runs = engine.runs.lock().unwrap().len();
            self.record
                .add(format!("{} ran {runs} requests", engine.id));
        }
        self.record.add(format!(
            "answers to clients by status, 0 for none: {:?}",
            self.outcomes.lock().unwrap()
        ));
        found
    }
}

/// Returns a seed that differs from play to play.
fn seed() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| since.as_nanos() as u64)
}

/// Returns whether a transaction releases a claim: it sets one without a lease.
fn is_release(body: &Json) -> bool {
    body.get("setKeys").list().iter().any(|row| {
        row.get("key").text().starts_with("chivevalve/claim/") && row.get("lease").number() == 0
    })
}

/// When a write is done whose answer is lost: 1 to 6 s after it was sent. Here it comes when the
/// stopped node runs again.
const LATE: (Duration, Duration) = (Duration::from_millis(3_100), Duration::from_millis(5_900));

/// Deployments that are played side by side, each with a store of its own, and how often.
const DEPLOYMENTS: usize = 6;
const ROUNDS: usize = 4;

/// Nodes and model servers of a deployment.
const NODES: usize = 3;
const ENGINES: usize = 12;

/// Time for nodes to claim the model servers.
const SETTLING: Duration = Duration::from_millis(4_000);

/// How long clients ask for rare adapters behind each stop, and how long they don't before it.
const BURST: Duration = Duration::from_millis(5_200);
const CALM: Duration = Duration::from_millis(3_700);

/// When a node is stopped, counted from a renewal of its lease, in milliseconds; it renews every
/// 650 ms.
const BEHIND_RENEWAL_MS: (u64, u64) = (50, 350);

/// Nodes are stopped and started again in turn; the store does the last write of a stopping node
/// late, and doesn't answer it.
pub fn late_release(has_trouble: bool) -> i32 {
    let record = Arc::new(Record::new());
    let mut found = Vec::new();
    for round in 0..ROUNDS {
        let deployments: Vec<_> = (0..DEPLOYMENTS)
            .map(|number| {
                let record = Arc::clone(&record);
                let number = round * DEPLOYMENTS + number;
                thread::spawn(move || play_deployment(number, &record, has_trouble))
            })
            .collect();
        for deployment in deployments {
            match deployment.join() {
                Ok(Some(one)) => found.extend(one),
                _ => {
                    record.write("the nodes of a deployment don't get ready");
                    return 2;
                }
            }
        }
    }
    if found.is_empty() {
        record.write("ONE held");
        return 0;
    }
    record.write(&format!(
        "ONE broken {} times:\n{}",
        found.len(),
        found.join("\n")
    ));
    1
}

fn node_name(deployment: usize, node: usize) -> String {
    format!("front-{}", deployment * NODES + node)
}

/// Stops a node in order and starts it again; its last write is late if `is_late`.
fn restart(record: &Record, node: &Node, stopping: &Mutex<HashSet<String>>, is_late: bool) {
    record.add(format!("SIGTERM to {}", node.name));
    if is_late {
        stopping.lock().unwrap().insert(node.name.clone());
    }
    node.signal("TERM");
    node.wait_end(Duration::from_secs(8));
    stopping.lock().unwrap().remove(&node.name);
    record.add(format!("{} has ended", node.name));
    node.start();
    node.wait_ready();
    record.add(format!("{} is ready again", node.name));
}

/// Plays one deployment; none if its nodes don't get ready.
fn play_deployment(number: usize, record: &Arc<Record>, has_trouble: bool) -> Option<Vec<String>> {
    let writes = Arc::new(AtomicUsize::new(0));
    let late = Arc::new(AtomicUsize::new(0));
    let renewed: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    // The node that claimed before what the stopped one has.
    let ahead = node_name(number, 0);
    let stopping: Arc<Mutex<HashSet<String>>> = Arc::default();
    let choose = {
        let (writes, late, record) = (Arc::clone(&writes), Arc::clone(&late), Arc::clone(record));
        let stopping = Arc::clone(&stopping);
        move |node: &str, body: &Json| {
            let all = writes.fetch_add(1, Ordering::SeqCst) + 1;
            let is_within_share = (late.load(Ordering::SeqCst) + 1) * 10 <= all * 3;
            let keys: Vec<&str> = body
                .get("setKeys")
                .list()
                .iter()
                .map(|row| row.get("key").text())
                .collect();
            if !is_release(body) || !stopping.lock().unwrap().contains(node) {
                record.add(format!("store: {node} writes {}", keys.join(", ")));
                return Deed::Done;
            }
            if !has_trouble || !is_within_share {
                record.add(format!("store: {node} releases {}", keys.join(", ")));
                return Deed::Done;
            }
            late.fetch_add(1, Ordering::SeqCst);
            record.add(format!(
                "store: {node} releases {}: done later, not answered",
                keys.join(", ")
            ));
            Deed::Late(Lateness {
                from: LATE.0,
                until: LATE.1,
                ahead: ahead.clone(),
            })
        }
    };
    let hook = {
        let renewed = Arc::clone(&renewed);
        move |node: &str, request: &http::Message| {
            if request.path().starts_with("/v1/kv-keep/") {
                renewed
                    .lock()
                    .unwrap()
                    .insert(node.to_owned(), Instant::now());
            }
        }
    };
    let told = Arc::clone(record);
    let done_late = move |node: &str, after: Duration, status: u16| {
        let after = after.as_millis();
        told.add(format!(
            "store: does a write of {node} {after} ms late, status {status}"
        ));
    };
    let store = Store::new(Box::new(choose), Box::new(hook), Box::new(done_late));
    let world = World::start(Arc::clone(record), store, number);
    if !world.wait_ready() {
        return None;
    }
    world.beat();
    world.traffic(6, Duration::from_millis(30));
    thread::sleep(SETTLING);
    let mut draw = Draw::new(seed() + number as u64);
    let [first, second, ..] = &world.nodes[..] else {
        return None;
    };
    // What the first node claimed goes to the others; it isn't given back when it runs again.
    restart(record, first, &stopping, false);
    thread::sleep(CALM);
    let before = Instant::now();
    let has_renewed = || {
        let renewed = renewed.lock().unwrap();
        renewed.get(&second.name).is_some_and(|at| *at >= before)
    };
    while !has_renewed() && before.elapsed() < Duration::from_secs(3) {
        thread::sleep(Duration::from_millis(5));
    }
    let (least, most) = BEHIND_RENEWAL_MS;
    thread::sleep(Duration::from_millis(least + draw.next() % (most - least)));
    restart(record, second, &stopping, true);
    world.is_burst.store(true, Ordering::SeqCst);
    thread::sleep(BURST);
    world.stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(300));
    let found = world.judge();
    let (writes, late) = (writes.load(Ordering::SeqCst), late.load(Ordering::SeqCst));
    record.add(format!(
        "deployment {number}: {late} of {writes} writes were done late"
    ));
    Some(found)
}
