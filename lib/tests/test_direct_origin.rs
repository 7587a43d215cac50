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
use chivevalve::direct::software::{Record as SoftwareRecord, Records, UNREPORTED, Update};
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

/// Nodes take turns in one order, whether or not they see each other.
#[test]
fn nodes_before_in_one_order() {
    let nodes = nodes(9, 3);
    let mut turns: Vec<u64> = nodes
        .keys()
        .map(|node| StreamKey(7).nodes_before(node, nodes.keys()))
        .collect();
    turns.sort_unstable();
    assert_eq!(turns, (0..9).collect::<Vec<_>>());
    let alone = StreamKey(7).nodes_before(&"node-0".into(), std::iter::empty());
    assert_eq!(alone, 0);
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

fn software_record(serving: &[&str], left: &[&str]) -> SoftwareRecord {
    SoftwareRecord {
        serving: versions(serving),
        left: versions(left),
    }
}

fn update(serving: &[&str], left: &[&str], replaces: u64) -> Update {
    Update {
        record: software_record(serving, left),
        replaces: Some(replaces),
    }
}

/// A version that has left counts for as long as callers may resume the streams that it began.
#[test]
fn records_version_that_left() {
    let mut records = Records::default();
    records.put("engines", software_record(&["v1", "v2"], &[]), 5, Millis(0));
    let listed = versions(&["v2"]);
    let left = records.outdated("engines", &listed, Millis(1));
    assert_eq!(left, Some(update(&["v2"], &["v1"], 5)));
    records.put("engines", left.unwrap().record, 6, Millis(1_000));
    assert!(!records.is_serving("engines", &"v1".into()));
    assert_eq!(
        records.possible("engines", &listed).unwrap().to_vec(),
        versions(&["v1", "v2"])
    );
    let last = Millis(1_000) + STREAM_LIFETIME - Millis(1);
    assert_eq!(records.outdated("engines", &listed, last), None);
    assert_eq!(
        records.outdated("engines", &listed, last + Millis(1)),
        Some(update(&["v2"], &[], 6))
    );
}

/// A version that serves again before it is forgotten is kept.
#[test]
fn records_version_that_is_back() {
    let mut records = Records::default();
    records.put("engines", software_record(&["v2"], &["v1"]), 5, Millis(0));
    let listed = versions(&["v1", "v2"]);
    assert_eq!(
        records.outdated("engines", &listed, STREAM_LIFETIME),
        Some(update(&["v1", "v2"], &[], 5))
    );
}

/// Without a record nothing is known, though the list shows one version only.
#[test]
fn records_without_a_record() {
    let records = Records::default();
    let listed = versions(&["v2"]);
    assert_eq!(records.possible("engines", &listed), None);
    assert!(!records.is_serving("engines", &"v2".into()));
    let first = Update {
        record: software_record(&["v2"], &[]),
        replaces: None,
    };
    let outdated = records.outdated("engines", &listed, Millis(0));
    assert_eq!(outdated, Some(first));
}

/// A node that has just started adds what it sees and forgets nothing that others have seen.
#[test]
fn records_after_a_restart() {
    let mut records = Records::default();
    let record = software_record(&["v2"], &["v1"]);
    records.put("engines", record, 5, Millis(70_000));
    let listed = versions(&["v3"]);
    let as_of = Millis(70_000) + STREAM_LIFETIME;
    assert_eq!(
        records.outdated("engines", &listed, as_of),
        Some(update(&["v3"], &["v1", "v2"], 5))
    );
}

/// A list that is older than the record doesn't show that a version has left.
#[test]
fn records_ahead_of_the_list() {
    let mut records = Records::default();
    let record = software_record(&["v1", "v2"], &[]);
    records.put("engines", record, 5, Millis(100));
    let listed = versions(&["v1"]);
    assert_eq!(records.outdated("engines", &listed, Millis(100)), None);
}

/// Time for which a node read nothing of the list doesn't show that a version stayed away.
#[test]
fn records_of_a_node_that_was_cut_off() {
    let mut records = Records::default();
    let record = software_record(&["v2"], &["v1"]);
    records.put("engines", record.clone(), 5, Millis(0));
    // Read once more when the node is back.
    records.put("engines", record, 5, Millis(90_000));
    let listed = versions(&["v2"]);
    let as_of = STREAM_LIFETIME - Millis(1);
    assert_eq!(records.outdated("engines", &listed, as_of), None);
}

/// Changes that are read after this node's own write don't undo it.
#[test]
fn records_read_late() {
    let mut records = Records::default();
    records.put("engines", software_record(&["v1", "v2"], &[]), 6, Millis(0));
    records.put("engines", software_record(&["v1"], &[]), 5, Millis(0));
    records.remove("engines", 4);
    assert!(records.is_serving("engines", &"v2".into()));
    records.remove("engines", 7);
    assert!(!records.is_serving("engines", &"v2".into()));
}

/// A record doesn't grow with the number of upstreams that report no version.
#[test]
fn records_without_versions() {
    let mut records = Records::default();
    let listed = versions(&["unknown:i-1@1", "unknown:i-2@1"]);
    let updated = records.outdated("engines", &listed, Millis(1)).unwrap();
    assert_eq!(updated.record, software_record(&[UNREPORTED], &[]));
    records.put("engines", updated.record, 5, Millis(1));
    assert!(records.is_serving("engines", &listed[0]));
    let one = records.possible("engines", &listed[..1]).unwrap();
    assert_eq!(one.len(), 2);
}

/// In any order of lists, writes, late writes and lost nodes, the record names the version of each
/// stream that callers may still resume.
#[test]
fn records_any_order() {
    fn holds(steps: Vec<u8>) -> bool {
        let names = versions(&["v1", "v2", "v3"]);
        let mut now = Millis(1_000);
        let (mut listed, mut revision) = (vec![names[0].clone()], 0);
        let mut stored: Option<(SoftwareRecord, u64)> = None;
        let mut late: Vec<Update> = Vec::new();
        let mut nodes = [Records::default(), Records::default()];
        let mut streams: Vec<(Name, Millis)> = Vec::new();
        for step in steps {
            let (number, one) = (usize::from(step / 16) % 2, usize::from(step / 32) % 3);
            let node = &mut nodes[number];
            match step % 8 {
                0 => listed = vec![names[one].clone()],
                1 if !listed.contains(&names[one]) => listed.push(names[one].clone()),
                2 => now += Millis(u64::from(step) * 150),
                3 => *node = Records::default(),
                4 => late.extend(node.outdated("engines", &listed, now)),
                5 => {
                    for version in &listed {
                        if node.is_serving("engines", version) {
                            streams.push((version.clone(), now));
                        }
                    }
                }
                _ => {
                    let write = if step % 8 == 6 {
                        late.pop()
                    } else {
                        node.outdated("engines", &listed, now)
                    };
                    let current = stored.as_ref().map(|(_, revision)| *revision);
                    if let Some(write) = write.filter(|write| write.replaces == current) {
                        revision += 1;
                        stored = Some((write.record, revision));
                    }
                }
            }
            now += Millis(1);
            if let Some((record, revision)) = &stored {
                for node in &mut nodes {
                    node.put("engines", record.clone(), *revision, now);
                }
            }
            streams.retain(|(_, at)| now.since(*at) < STREAM_LIFETIME);
            let is_named = |version: &Name| {
                let record = stored.as_ref().map(|(record, _)| record);
                record.is_some_and(|record| {
                    record.serving.contains(version) || record.left.contains(version)
                })
            };
            if !streams.iter().all(|(version, _)| is_named(version)) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 74))
        .tests(3_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
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
    let record = software_record(&["v1"], &[]);
    state.software.put("engines", record, 1, Millis(0));
    state.put_upstream(&entry("v1"), entry_revision(5), Millis(0));
    state.put_upstream(&entry("v2"), entry_revision(4), Millis(1));
    assert_eq!(&*state.upstreams["i-1"].software, "v1");
    state.put_upstream(&entry("v2"), entry_revision(6), Millis(2));
    assert_eq!(&*state.upstreams["i-1"].software, "v2");
    drop(state);
    assert_eq!(view.software_versions("engines").unwrap().len(), 2);
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
    assert_eq!(view.state().listed_software("engines").len(), 2);
    let record = software_record(&[UNREPORTED], &[]);
    view.state().software.put("engines", record, 1, Millis(0));
    assert!(view.software_versions("engines").unwrap().len() >= 2);
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
