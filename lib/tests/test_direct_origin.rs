//! What nodes remember of where streams began, and by which software versions they may have begun.

mod direct_support;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use chivevalve::clock::Millis;
use chivevalve::direct::dialect::UpstreamEntry;
use chivevalve::direct::metadata::RequestMetadata;
use chivevalve::direct::origin::{KEEPERS, Ledger, Origin, Record, STREAM_LIFETIME, StreamKey};
use chivevalve::direct::origin_store::OriginStore;
use chivevalve::direct::roles::Roles;
use chivevalve::direct::software::History;
use chivevalve::direct::view::View;
use chivevalve::name::Name;
use direct_support::records::{entry_revision, listed};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn origin(software: &str) -> Origin {
    Origin {
        pool: "engines".into(),
        software: software.into(),
    }
}

fn record(stream: u64, software: &str, at: Millis) -> Record {
    Record {
        stream: StreamKey(stream),
        origin: origin(software),
        at,
    }
}

fn begun(id: &str) -> RequestMetadata {
    RequestMetadata {
        id: Some(id.into()),
        caller: Some("one".into()),
        model: Some("base/a1".into()),
        ..RequestMetadata::default()
    }
}

fn resumed(id: &str, resumes: &str) -> RequestMetadata {
    RequestMetadata {
        resume_after: Some(3),
        resumes: Some(resumes.into()),
        ..begun(id)
    }
}

#[test]
fn key_resumed_attempt() {
    assert_eq!(
        StreamKey::of(&begun("a")),
        StreamKey::of(&resumed("b", "a"))
    );
    assert_eq!(
        StreamKey::of(&resumed("c", "a")),
        StreamKey::of(&resumed("b", "a"))
    );
}

/// A caller who names an attempt of another one, or for another model, learns nothing about it.
#[test]
fn key_foreign_attempt() {
    let foreign = RequestMetadata {
        caller: Some("two".into()),
        ..resumed("b", "a")
    };
    let of_another_model = RequestMetadata {
        model: Some("base/a2".into()),
        ..resumed("b", "a")
    };
    for other in [foreign, of_another_model] {
        assert_ne!(StreamKey::of(&begun("a")), StreamKey::of(&other));
    }
}

/// A request that names no attempt has no stream that could be found.
#[test]
fn key_without_attempt() {
    let without_resumes = RequestMetadata {
        resumes: None,
        ..resumed("b", "a")
    };
    assert_eq!(StreamKey::of(&without_resumes), None);
    assert_eq!(StreamKey::of(&RequestMetadata::default()), None);
}

/// Fields of a key don't run into one another.
#[test]
fn key_field_borders() {
    let shifted = RequestMetadata {
        id: Some("ao".into()),
        caller: Some("ne".into()),
        ..begun("a")
    };
    assert_ne!(StreamKey::of(&begun("a")), StreamKey::of(&shifted));
}

#[test]
fn ledger_forgets_after_the_lifetime() {
    let mut ledger = Ledger::default();
    ledger.begin(record(1, "v1", Millis(5)), Millis(5));
    let last = Millis(5) + STREAM_LIFETIME - Millis(1);
    assert_eq!(
        ledger.record(StreamKey(1), last),
        Some(record(1, "v1", Millis(5)))
    );
    assert_eq!(ledger.record(StreamKey(1), last + Millis(1)), None);
}

/// The age that another node tells counts, not when it told.
#[test]
fn ledger_keeps_the_age_of_what_is_told() {
    let mut ledger = Ledger::default();
    let now = STREAM_LIFETIME + Millis(10);
    ledger.insert(record(1, "v1", Millis(20)), now);
    assert!(ledger.record(StreamKey(1), now).is_some());
    assert_eq!(ledger.record(StreamKey(1), now + Millis(20)), None);
}

/// Streams that began before a second version appeared are told once it has.
#[test]
fn ledger_untold_of_other_pools_stay() {
    let mut ledger = Ledger::default();
    ledger.begin(record(1, "v1", Millis(1)), Millis(1));
    ledger.insert(record(2, "v1", Millis(1)), Millis(1));
    assert!(ledger.take_untold(Millis(2), |_| false).is_empty());
    let told = ledger.take_untold(Millis(3), |pool| &**pool == "engines");
    assert_eq!(told, [record(1, "v1", Millis(1))]);
    assert!(ledger.take_untold(Millis(4), |_| true).is_empty());
}

/// Copies are for the newest streams: what doesn't fit into a transaction is given up.
#[test]
fn ledger_uncopied_newest() {
    let mut ledger = Ledger::default();
    for stream in 0..10 {
        ledger.begin(record(stream, "v1", Millis(1)), Millis(1));
    }
    assert!(ledger.take_uncopied(Millis(2), 4, |_| false).is_empty());
    let copied = ledger.take_uncopied(Millis(2), 4, |_| true);
    let streams: Vec<u64> = copied.iter().map(|record| record.stream.0).collect();
    assert_eq!(streams, [6, 7, 8, 9]);
    assert!(ledger.take_uncopied(Millis(3), 4, |_| true).is_empty());
    assert_eq!(ledger.take_untold(Millis(3), |_| true).len(), 10);
}

/// All nodes together write as many transactions, however many there are.
#[test]
fn copies_interval_by_nodes() {
    assert_eq!(OriginStore::interval(1), Millis(500));
    assert_eq!(OriginStore::interval(9), Millis(500));
    assert_eq!(OriginStore::interval(320), Millis(16_000));
}

#[test]
fn ledger_is_bounded() {
    let mut ledger = Ledger::default();
    for stream in 0..100_000 {
        ledger.begin(record(stream, "v1", Millis(1)), Millis(1));
    }
    assert_eq!(ledger.len(), 32_768);
    assert!(ledger.record(StreamKey(0), Millis(1)).is_none());
    assert!(ledger.record(StreamKey(99_999), Millis(1)).is_some());
    assert_eq!(ledger.take_untold(Millis(1), |_| true).len(), 32_768);
}

/// Steps of a ledger that is compared with a plain list of all records.
#[derive(Debug, Clone)]
enum Step {
    Begin(u64, bool),
    Insert(u64, bool, u64),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let stream = u64::arbitrary(gen_) % 12;
        let version = bool::arbitrary(gen_);
        match u8::arbitrary(gen_) % 3 {
            0 => Self::Begin(stream, version),
            1 => Self::Insert(stream, version, u64::arbitrary(gen_) % 90_000),
            _ => Self::Wait(u64::arbitrary(gen_) % 40_000),
        }
    }
}

/// In any order of records and expiries, a ledger tells the last record of a stream or nothing.
#[test]
fn ledger_any_order() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut ledger = Ledger::default();
        let mut model: HashMap<u64, Record> = HashMap::new();
        let mut now = Millis(100_000);
        for step in steps {
            match step {
                Step::Begin(stream, version) => {
                    let record = record(stream, if version { "v1" } else { "v2" }, now);
                    ledger.begin(record.clone(), now);
                    model.insert(stream, record);
                }
                Step::Insert(stream, version, age) => {
                    let at = Millis(now.0 - age);
                    let record = record(stream, if version { "v1" } else { "v2" }, at);
                    ledger.insert(record.clone(), now);
                    model.insert(stream, record);
                }
                Step::Wait(span) => now += Millis(span),
            }
            for stream in 0..12 {
                let expected = model.get(&stream).cloned();
                let expected = expected.filter(|one| now.since(one.at) < STREAM_LIFETIME);
                if ledger.record(StreamKey(stream), now) != expected {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 56))
        .tests(500)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

fn nodes(count: usize, domains: usize) -> BTreeMap<Name, Name> {
    let node = |number: usize| {
        let domain = format!("hall-{}", number % domains);
        (format!("node-{number}").into(), domain.into())
    };
    (0..count).map(node).collect()
}

fn keepers(stream: u64, nodes: &BTreeMap<Name, Name>) -> Vec<&Name> {
    StreamKey(stream).keepers(nodes.iter()).into_vec()
}

#[test]
fn keepers_in_different_domains() {
    let nodes = nodes(9, 3);
    for stream in 0..500 {
        let keepers = keepers(stream, &nodes);
        let domains: BTreeSet<&Name> = keepers.iter().map(|node| &nodes[*node]).collect();
        assert_eq!((keepers.len(), domains.len()), (KEEPERS, 3));
    }
}

#[test]
fn keepers_of_few_nodes() {
    for count in 0..KEEPERS {
        assert_eq!(keepers(7, &nodes(count, 1)).len(), count);
    }
}

#[test]
fn keepers_share_the_streams() {
    let nodes = nodes(40, 5);
    let mut streams: BTreeMap<&Name, u32> = BTreeMap::new();
    for stream in 0..8_000 {
        for keeper in keepers(stream, &nodes) {
            *streams.entry(keeper).or_default() += 1;
        }
    }
    // 600 each on average.
    assert!(streams.values().all(|count| (450..750).contains(count)));
}

/// A stream is still found when other nodes have come or gone since its node told of it.
#[test]
fn keepers_after_a_change_of_nodes() {
    let before = nodes(9, 3);
    for gone in before.keys() {
        let mut after = before.clone();
        after.remove(gone);
        for stream in 0..200 {
            let told = keepers(stream, &before);
            let asked = keepers(stream, &after);
            let shared = told.iter().filter(|node| asked.contains(node)).count();
            assert!(shared >= KEEPERS - 1, "{told:?} {asked:?}");
        }
    }
}

/// With a third of the nodes lost at once, nearly all of their streams are remembered elsewhere.
#[test]
fn keepers_after_the_loss_of_a_third() {
    let nodes = nodes(9, 3);
    let names: Vec<&Name> = nodes.keys().collect();
    let mut random = Pcg64::seed_from_u64(56);
    let (mut lost, mut remembered) = (0, 0);
    for stream in 0..20_000 {
        let mut dead: BTreeSet<&Name> = BTreeSet::new();
        while dead.len() < 3 {
            dead.insert(names[random.random_range(0..names.len())]);
        }
        let began_at = names[random.random_range(0..names.len())];
        if !dead.contains(began_at) {
            continue;
        }
        lost += 1;
        let alive = keepers(stream, &nodes)
            .into_iter()
            .any(|keeper| !dead.contains(keeper));
        remembered += u32::from(alive);
    }
    assert!(remembered * 100 >= lost * 95, "{remembered} of {lost}");
}

fn versions(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

/// A version still counts for as long as callers may resume the streams that it began.
#[test]
fn history_version_that_left() {
    let mut history = History::default();
    history.begin(Millis(0));
    history.record_left(&"engines".into(), &"v1".into(), Millis(1_000));
    let listed = versions(&["v2"]);
    let last = Millis(1_000) + STREAM_LIFETIME - Millis(1);
    assert_eq!(
        history.possible("engines", &listed, last).to_vec(),
        versions(&["v1", "v2"])
    );
    assert_eq!(
        history
            .possible("engines", &listed, last + Millis(1))
            .to_vec(),
        listed
    );
}

/// A node that has just started learns from the record of versions that it hasn't seen.
#[test]
fn history_record_counts_for_a_new_node() {
    let mut history = History::default();
    history.begin(Millis(0));
    history.put_record("engines", versions(&["v2", "v1"]).into());
    let listed = versions(&["v2"]);
    assert_eq!(history.possible("engines", &listed, Millis(10)).len(), 2);
    assert_eq!(
        history.outdated_record("engines", &listed, Millis(10)),
        None
    );
    assert_eq!(
        history
            .possible("engines", &listed, STREAM_LIFETIME)
            .to_vec(),
        listed
    );
    let emptied = history.outdated_record("engines", &listed, STREAM_LIFETIME);
    assert_eq!(emptied.map(|versions| versions.len()), Some(0));
}

#[test]
fn history_record_follows_the_versions() {
    let mut history = History::default();
    history.begin(Millis(0));
    let one = versions(&["v1"]);
    let two = versions(&["v1", "v2"]);
    assert_eq!(history.outdated_record("engines", &one, Millis(1)), None);
    let record = history.outdated_record("engines", &two, Millis(1)).unwrap();
    assert_eq!(record.to_vec(), two);
    history.put_record("engines", record);
    assert_eq!(history.outdated_record("engines", &two, Millis(1)), None);
}

/// An engine that starts again with another version under its name and start time is another one.
#[test]
fn view_restart_with_another_version() {
    let view = View::default();
    let mut state = view.state();
    let entry = |version: &str| UpstreamEntry {
        software: Some(version.into()),
        ..listed("i-1", &[])
    };
    state.put_upstream(&entry("v1"), entry_revision(5), Millis(0));
    state.put_upstream(&entry("v2"), entry_revision(4), Millis(1));
    assert_eq!(&*state.upstreams["i-1"].software, "v1");
    state.put_upstream(&entry("v2"), entry_revision(6), Millis(2));
    assert_eq!(&*state.upstreams["i-1"].software, "v2");
    drop(state);
    assert_eq!(view.software_versions("engines", Millis(3)).len(), 2);
}

/// Upstreams that report no version may differ: each is of a version of its own.
#[test]
fn view_upstreams_without_a_version() {
    let view = View::default();
    for name in ["i-1", "i-2"] {
        let entry = UpstreamEntry {
            software: None,
            ..listed(name, &[])
        };
        let mut state = view.state();
        state.put_upstream(&entry, entry_revision(5), Millis(0));
    }
    assert_eq!(view.software_versions("engines", Millis(1)).len(), 2);
}

/// Each version has decode engines, since runs move only within a version.
#[test]
fn roles_by_software_version() {
    let (one, two, three): (Name, Name, Name) = ("v1".into(), "v2".into(), "v3".into());
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
    let engines = |version, from: u16, count: u16| {
        (from..from + count).map(move |number| (version, address(number)))
    };
    let all: Vec<(&Name, SocketAddr)> = engines(&one, 1, 12)
        .chain(engines(&two, 20, 5))
        .chain(engines(&three, 30, 1))
        .collect();
    let roles = Roles::split_by_version(all.clone(), 6);
    let prefill = |version: &Name| {
        let engines = all.iter().filter(|(one, _)| *one == version);
        engines
            .filter(|(_, engine)| roles.is_prefill(*engine))
            .count()
    };
    assert_eq!((prefill(&one), prefill(&two), prefill(&three)), (4, 2, 0));
}

#[test]
fn roles_one_software_version() {
    let version: Name = "v1".into();
    let engines: Vec<SocketAddr> = (1..=18)
        .map(|number| SocketAddr::from(([127, 0, 0, 1], number)))
        .collect();
    let versioned: Vec<_> = engines.iter().map(|engine| (&version, *engine)).collect();
    for prefill in 0..=18 {
        assert_eq!(
            Roles::split_by_version(versioned.clone(), prefill),
            Roles::split(engines.clone(), prefill)
        );
    }
}
