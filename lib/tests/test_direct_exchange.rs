//! What a node sends to the owners of engines in exchanges.

mod direct_support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::direct::admit::AdmitQuery;
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::UpstreamEntry;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::upstream::{InFlightRequest, Upstream};
use chivevalve::direct::view::{Claim, ClaimEntry, View};
use chivevalve::name::Name;
use chivevalve_platform::PlatformDialect;
use direct_support::records::{entry_revision, listed, peer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const ENGINES: u16 = 120;
const OWNERS: u16 = 9;

/// Contents of exchanges by owner: engine, number of running requests and adapters in use.
type Exchanges = BTreeMap<SocketAddr, BTreeSet<(String, u32, Vec<String>)>>;

/// Returns the controllers of a node that sees engines of many owners; the last is itself.
fn node(random: &mut Pcg64, unresponsive: SocketAddr) -> Arc<Controllers> {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    {
        let mut state = view.state();
        for owner in 0..OWNERS {
            let address = match owner {
                0 => unresponsive,
                other => SocketAddr::from(([127, 0, 0, 1], 10 + other)),
            };
            state.put_node(format!("node-{owner}").into(), peer(address));
        }
        for number in 0..ENGINES {
            let engine = UpstreamEntry {
                address: SocketAddr::from(([127, 0, 0, 2], number)),
                ..listed(&format!("i-{number}"), &[("base/a1", 1)])
            };
            state.put_upstream(&engine, entry_revision(1), Millis::ZERO);
            // Some owners are unknown, some have released their claims, and some
            // engines have no claim.
            let owner = random.random_range(0..OWNERS + 1);
            let claim = Claim {
                node: format!("node-{owner}").into(),
                start: 1,
                left: random.random_bool(0.1).then_some(Millis::ZERO),
                from: Millis::ZERO,
                boot: 0,
                exclusive_from: None,
            };
            let entry = ClaimEntry {
                claim,
                revision: 7,
                seen: Millis::ZERO,
            };
            if random.random_bool(0.9) {
                state.insert_claim(engine.address, entry);
                if owner == OWNERS - 1 {
                    ownership.acquire(engine.address, 7, Millis::ZERO);
                }
            }
        }
    }
    let me = format!("node-{}", OWNERS - 1).into();
    let dialect = Arc::new(PlatformDialect);
    Arc::new(Controllers::new(
        view,
        ownership,
        dialect,
        clock,
        me,
        Arc::default(),
    ))
}

fn engines(controllers: &Controllers) -> Vec<Arc<Upstream>> {
    let state = controllers.view.state();
    let mut engines: Vec<_> = state.upstreams.values().cloned().collect();
    engines.sort_by(|one, other| one.incarnation.cmp(&other.incarnation));
    engines
}

/// Computes the exchanges by checking every engine.
fn expected(
    controllers: &Controllers,
    recorded: &BTreeMap<Name, Name>,
    unresponsive: SocketAddr,
) -> Exchanges {
    let mut exchanges = Exchanges::new();
    for engine in engines(controllers) {
        let Some((_, owner)) = controllers.view.owner(engine.address) else {
            continue;
        };
        let mut adapters = engine.uncounted_adapters();
        let recorded = recorded.get(&engine.incarnation).cloned();
        adapters
            .extend(recorded.filter(|recorded| !engine.uncounted_adapters().contains(recorded)));
        let is_idle = adapters.is_empty() && engine.running() == 0;
        if controllers.ownership.owns(engine.address) || (is_idle && owner.address != unresponsive)
        {
            continue;
        }
        let mut adapters: Vec<String> = adapters.iter().map(ToString::to_string).collect();
        adapters.sort();
        let engine = (engine.incarnation.to_string(), engine.running(), adapters);
        exchanges.entry(owner.address).or_default().insert(engine);
    }
    exchanges
}

fn sent_exchanges(controllers: &Controllers) -> Exchanges {
    let mut exchanges = Exchanges::new();
    for (address, request) in controllers.take_exchange_requests() {
        for mut one in request.uses {
            one.adapters.sort();
            let engine = (one.incarnation, one.running, one.adapters);
            exchanges.entry(address).or_default().insert(engine);
        }
    }
    exchanges
}

/// Starts requests at some engines; most use an adapter that the owner doesn't count.
fn run(random: &mut Pcg64, engines: &[Arc<Upstream>]) -> Vec<InFlightRequest> {
    let chosen = engines.iter().filter(|_| random.random_bool(0.1));
    let chosen: Vec<_> = chosen.collect();
    let adapter = Name::from("base/a1");
    chosen
        .into_iter()
        .map(|engine| engine.start_request(random.random_bool(0.8).then_some(&adapter), None))
        .collect()
}

/// Guards against an engine missing from the exchange with its owner.
///
/// The owner would evict an adapter that a long stream uses, or this node would never learn that
/// an unresponsive owner responds again. Engines are in use or idle, and owners are unresponsive,
/// unknown or have left.
#[tokio::test(start_paused = true)]
async fn take_exchange_requests_covers_used_engines_and_unresponsive_owners() {
    let silent_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let unresponsive = silent_listener.local_addr().unwrap();
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let controllers = node(&mut random, unresponsive);
        let engines = engines(&controllers);
        let owned_by = |engine: &&Arc<Upstream>| {
            let owner = controllers.view.owner(engine.address);
            owner.is_some_and(|(_, owner)| owner.address == unresponsive)
        };
        let mut watched = SocketAddr::from(([127, 0, 0, 9], 9));
        for round in 0..6 {
            let running = run(&mut random, &engines);
            let mut recorded = BTreeMap::new();
            for engine in engines.iter().filter(|_| random.random_bool(0.05)) {
                let adapter = Name::from("base/a2");
                controllers.record_use(engine, &adapter);
                recorded.insert(Name::clone(&engine.incarnation), adapter);
            }
            if round == 3 {
                // An admission request without a response makes the owner unresponsive.
                let query = AdmitQuery {
                    adapter: None,
                    version: 0,
                    max_running: 0,
                    loaded: false,
                    report_only: false,
                    assumed_limit: None,
                    tokens: 0,
                    max_wait: Millis::ZERO,
                };
                let engine = engines.iter().find(owned_by).unwrap();
                drop(controllers.admit(engine, query).await);
                watched = unresponsive;
            }
            let expected = expected(&controllers, &recorded, watched);
            assert!(!expected.is_empty());
            assert_eq!(
                sent_exchanges(&controllers),
                expected,
                "seed {seed}, round {round}"
            );
            drop(running);
        }
    }
}
