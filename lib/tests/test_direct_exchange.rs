//! What a node tells the owners of engines.

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

/// What is told: by owner, the engine, what runs there, and adapters in use.
type Told = BTreeMap<SocketAddr, BTreeSet<(String, u32, Vec<String>)>>;

/// A node before engines of many owners; the last one is the node itself.
fn node(random: &mut Pcg64, silent: SocketAddr) -> Arc<Controllers> {
    let clock: Arc<dyn Clock> = Arc::new(Monotonic::start());
    let view = Arc::new(View::default());
    let ownership = Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view)));
    {
        let mut state = view.state();
        for owner in 0..OWNERS {
            let address = match owner {
                0 => silent,
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
            // Some owners aren't known, some have left, and some engines have none.
            let owner = random.random_range(0..OWNERS + 1);
            let claim = Claim {
                node: format!("node-{owner}").into(),
                start: 1,
                left: random.random_bool(0.1).then_some(Millis::ZERO),
                from: Millis::ZERO,
                boot: 0,
            };
            let standing = ClaimEntry {
                claim,
                revision: 7,
                seen: Millis::ZERO,
            };
            if random.random_bool(0.9) {
                state.insert_claim(engine.address, standing);
                if owner == OWNERS - 1 {
                    ownership.acquire(engine.address, 7, Millis::ZERO);
                }
            }
        }
    }
    let me = format!("node-{}", OWNERS - 1).into();
    let speech = Arc::new(PlatformDialect);
    Arc::new(Controllers::new(
        view,
        ownership,
        speech,
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

/// Looks at all engines one by one.
fn expected(controllers: &Controllers, noted: &BTreeMap<Name, Name>, silent: SocketAddr) -> Told {
    let mut told = Told::new();
    for engine in engines(controllers) {
        let Some((_, owner)) = controllers.view.owner(engine.address) else {
            continue;
        };
        let mut adapters = engine.uncounted_adapters();
        let noted = noted.get(&engine.incarnation).cloned();
        adapters.extend(noted.filter(|noted| !engine.uncounted_adapters().contains(noted)));
        let is_idle = adapters.is_empty() && engine.running() == 0;
        if controllers.ownership.owns(engine.address) || (is_idle && owner.address != silent) {
            continue;
        }
        let mut adapters: Vec<String> = adapters.iter().map(ToString::to_string).collect();
        adapters.sort();
        let engine = (engine.incarnation.to_string(), engine.running(), adapters);
        told.entry(owner.address).or_default().insert(engine);
    }
    told
}

fn told(controllers: &Controllers) -> Told {
    let mut told = Told::new();
    for (address, request) in controllers.take_exchange_requests() {
        for mut one in request.uses {
            one.adapters.sort();
            let engine = (one.incarnation, one.running, one.adapters);
            told.entry(address).or_default().insert(engine);
        }
    }
    told
}

/// Has requests run at some engines; most of them use their adapter uncounted.
fn run(random: &mut Pcg64, engines: &[Arc<Upstream>]) -> Vec<InFlightRequest> {
    let chosen = engines.iter().filter(|_| random.random_bool(0.1));
    let chosen: Vec<_> = chosen.collect();
    let adapter = Name::from("base/a1");
    chosen
        .into_iter()
        .map(|engine| engine.start_request(random.random_bool(0.8).then_some(&adapter), None))
        .collect()
}

/// Symptom: an adapter that a long stream uses is evicted, or an owner's silence isn't seen to end.
/// Sequence: engines in use, idle ones, owners that are silent, left or unknown, round by round.
/// Cause: an engine left out of what its owner is told.
#[tokio::test(start_paused = true)]
async fn exchanges_tell_of_engines_in_use_and_silent_owners() {
    let suspended = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = suspended.local_addr().unwrap();
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let controllers = node(&mut random, silent);
        let engines = engines(&controllers);
        let owned_by = |engine: &&Arc<Upstream>| {
            let owner = controllers.view.owner(engine.address);
            owner.is_some_and(|(_, owner)| owner.address == silent)
        };
        let mut concerned = SocketAddr::from(([127, 0, 0, 9], 9));
        for round in 0..6 {
            let running = run(&mut random, &engines);
            let mut noted = BTreeMap::new();
            for engine in engines.iter().filter(|_| random.random_bool(0.05)) {
                let adapter = Name::from("base/a2");
                controllers.record_use(engine, &adapter);
                noted.insert(Name::clone(&engine.incarnation), adapter);
            }
            if round == 3 {
                // A question without an answer shows that the owner is silent.
                let question = AdmitQuery {
                    adapter: None,
                    version: 0,
                    max_running: 0,
                    loaded: false,
                    tokens: 0,
                    max_wait: Millis::ZERO,
                };
                let engine = engines.iter().find(owned_by).unwrap();
                drop(controllers.admit(engine, question).await);
                concerned = silent;
            }
            let expected = expected(&controllers, &noted, concerned);
            assert!(!expected.is_empty());
            assert_eq!(told(&controllers), expected, "seed {seed}, round {round}");
            drop(running);
        }
    }
}
