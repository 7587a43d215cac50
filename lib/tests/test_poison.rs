//! Who is to blame for upstreams that ended.

use std::collections::HashSet;

use chivevalve::clock::Millis;
use chivevalve::name::Name;
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::harmless::HarmlessRequests;
use chivevalve::poison::ledger::{CrashLedger, CrashReport, REPORT_TTL, Suspect, Suspicion};
use quickcheck::{Gen, QuickCheck};

const IDENTITY: Identity<'_> = Identity {
    caller: "key-1",
    model: "base/a1",
    method: "POST",
    host: "host.example",
    path: "/plan/x",
    body: b"the request",
};

fn fingerprint(number: u64) -> Fingerprint {
    let path = format!("/plan/{number}");
    Fingerprint::of(&Identity {
        path: &path,
        ..IDENTITY
    })
}

/// A ledger to which nodes have told of upstreams that ended.
#[derive(Debug, Default)]
struct World {
    ledger: CrashLedger,
    revision: u64,
}

impl World {
    /// Node `node` tells which of its requests stood at an upstream that ended.
    fn ended(&mut self, upstream: u64, node: u64, suspects: &[(u64, Suspicion)]) -> Name {
        let name: Name = format!("end/u-{upstream}/n-{node}").into();
        let suspects = suspects.iter().map(|(request, suspicion)| Suspect {
            request: fingerprint(*request),
            suspicion: *suspicion,
        });
        let report = CrashReport {
            upstream: format!("u-{upstream}").into(),
            suspects: suspects.collect(),
        };
        self.revision += 1;
        let revision = Some(self.revision);
        self.ledger
            .add_report(Name::clone(&name), report, revision, Millis::ZERO);
        name
    }

    fn blames(&mut self, request: u64) -> Option<usize> {
        self.ledger
            .blamed_crashes(&fingerprint(request), Millis::ZERO)
    }
}

#[test]
fn fingerprint_tells_requests_apart() {
    let same = Fingerprint::of(&IDENTITY);
    assert_eq!(same, Fingerprint::of(&IDENTITY.clone()));
    let others = [
        Identity {
            caller: "key-2",
            ..IDENTITY
        },
        Identity {
            model: "base/a2",
            ..IDENTITY
        },
        Identity {
            path: "/plan/y",
            ..IDENTITY
        },
        Identity {
            body: b"another",
            ..IDENTITY
        },
    ];
    for other in &others {
        assert_ne!(same, Fingerprint::of(other));
    }
    assert_eq!(Fingerprint::read(same.as_str()), Some(same));
    assert_eq!(Fingerprint::read("short"), None);
}

/// Symptom: a proper request is rejected after one engine ended.
/// Cause: a single end taken for proof against whatever stood there.
#[test]
fn blames_from_three_ends_on() {
    let mut world = World::default();
    for upstream in 0..2 {
        world.ended(upstream, 0, &[(1, Suspicion::Begun)]);
        assert_eq!(world.blames(1), None);
    }
    world.ended(2, 0, &[(1, Suspicion::Begun)]);
    assert_eq!(world.blames(1), Some(3));
}

/// Symptom: two engines count as four, as two nodes tell of each.
#[test]
fn blames_count_an_upstream_once() {
    let mut world = World::default();
    for upstream in 0..2 {
        for node in 0..3 {
            world.ended(upstream, node, &[(1, Suspicion::Begun)]);
        }
    }
    assert_eq!(world.blames(1), None);
}

/// Symptom: a node that sees only some of the ends goes on sending the request.
/// Cause: ends that other nodes saw don't add up with its own.
#[test]
fn blames_add_up_over_nodes() {
    let mut world = World::default();
    world.ended(0, 0, &[(1, Suspicion::Begun)]);
    world.ended(1, 1, &[(1, Suspicion::Possible)]);
    world.ended(2, 2, &[(1, Suspicion::Possible)]);
    assert_eq!(world.blames(1), Some(3));
}

/// Symptom: callers whose requests only waited at engines that ended are rejected.
#[test]
fn blames_take_more_where_nothing_began() {
    let mut world = World::default();
    for upstream in 0..3 {
        world.ended(upstream, 0, &[(1, Suspicion::Possible)]);
    }
    assert_eq!(world.blames(1), None);
    world.ended(3, 0, &[(1, Suspicion::Possible)]);
    assert_eq!(world.blames(1), Some(4));
}

/// Symptom: requests that stood beside a poison one are rejected too.
/// Sequence: cut with it at one engine, they go on with it at the next, three times.
/// Cause: an end that is explained speaks against all who were there.
#[test]
fn blames_spare_who_was_beside_it() {
    let mut world = World::default();
    for upstream in 0..3 {
        let beside = (2, Suspicion::Possible);
        world.ended(upstream, 0, &[(1, Suspicion::Begun), beside]);
        world.ended(upstream, 1, &[(3, Suspicion::Possible)]);
    }
    world.ended(3, 0, &[(1, Suspicion::Begun), (2, Suspicion::Begun)]);
    assert_eq!(world.blames(1), Some(4));
    assert_eq!(world.blames(2), None);
    assert_eq!(world.blames(3), None);
}

/// Symptom: of two requests that were at the same engines the proper one is rejected, for good.
/// Sequence: three ends under both, of which the proper one is blamed first; then further ends
/// under the other one alone.
#[test]
fn blames_pass_on_once_more_is_known() {
    let mut world = World::default();
    for upstream in 0..3 {
        world.ended(upstream, 0, &[(1, Suspicion::Begun), (2, Suspicion::Begun)]);
    }
    let (first, other) = if world.blames(1).is_some() {
        (1, 2)
    } else {
        (2, 1)
    };
    assert_eq!(world.blames(other), None);
    world.ended(3, 0, &[(other, Suspicion::Begun)]);
    assert_eq!(world.blames(other), Some(4));
    assert_eq!(world.blames(first), None);
}

#[test]
fn blames_several_at_once() {
    let mut world = World::default();
    for upstream in 0..9 {
        world.ended(upstream, 0, &[(upstream % 3, Suspicion::Begun)]);
    }
    for request in 0..3 {
        assert_eq!(world.blames(request), Some(3));
    }
}

/// Symptom: a request that is often repeated is rejected though engines run it all the time.
#[test]
fn cleared_counts_for_what_was_before() {
    let mut world = World::default();
    for upstream in 0..3 {
        world.ended(upstream, 0, &[(1, Suspicion::Begun)]);
    }
    world.revision += 1;
    world.ledger.clear(&fingerprint(1), Some(world.revision));
    assert_eq!(world.blames(1), None);
    for upstream in 3..6 {
        assert_eq!(world.blames(1), None);
        world.ended(upstream, 0, &[(1, Suspicion::Begun)]);
    }
    assert_eq!(world.blames(1), Some(3));
}

/// Symptom: a node that has just started rejects what others serve.
/// Sequence: it reads the record of a survivor before the older reports, in the order of keys.
#[test]
fn cleared_in_any_order() {
    let mut world = World::default();
    world.ledger.clear(&fingerprint(1), Some(9));
    for upstream in 0..3 {
        world.ended(upstream, 0, &[(1, Suspicion::Begun)]);
    }
    assert_eq!(world.blames(1), None);
}

#[test]
fn report_lapses() {
    let mut world = World::default();
    let mut last = Name::from("");
    for upstream in 0..3 {
        last = world.ended(upstream, 0, &[(1, Suspicion::Begun)]);
    }
    world.ledger.remove_report(&last);
    assert_eq!(world.blames(1), None);
    world.ended(2, 0, &[(1, Suspicion::Begun)]);
    assert!(world.blames(1).is_some());
    assert_eq!(
        world.ledger.blamed_crashes(&fingerprint(1), REPORT_TTL),
        None
    );
    assert!(world.ledger.is_empty());
}

/// Symptom: a node grows without bound while somebody sends ever new requests under which
/// engines end.
#[test]
fn report_memory_is_bounded() {
    let mut world = World::default();
    for upstream in 0..5_000 {
        let suspects: Vec<_> = (0..2)
            .map(|at| (upstream * 2 + at, Suspicion::Begun))
            .collect();
        world.ended(upstream, 0, &suspects);
    }
    assert_eq!(world.ledger.crash_count(&fingerprint(0), Millis::ZERO), 0);
    assert_eq!(
        world.ledger.crash_count(&fingerprint(9_999), Millis::ZERO),
        1
    );
}

#[test]
fn survivors_are_forgotten() {
    let mut harmless = HarmlessRequests::default();
    let now = Millis::from_secs(100);
    harmless.insert(fingerprint(1), now);
    assert!(harmless.contains(&fingerprint(1), now + Millis::from_secs(29)));
    assert!(!harmless.contains(&fingerprint(2), now));
    assert!(!harmless.contains(&fingerprint(1), now + Millis::from_secs(90)));
}

/// A node's report: the upstream, the node, and its requests there with whether they had begun.
type Told = (u8, u8, Vec<(u8, bool)>);

fn verdict<'a>(told: impl Iterator<Item = &'a Told>) -> Vec<Option<usize>> {
    let mut world = World::default();
    for (upstream, node, suspects) in told {
        let signs = [Suspicion::Possible, Suspicion::Begun];
        let suspects: Vec<_> = suspects
            .iter()
            .map(|(request, begun)| (u64::from(request % 6), signs[usize::from(*begun)]))
            .collect();
        world.ended(u64::from(upstream % 8), u64::from(node % 3), &suspects);
    }
    (0..6).map(|request| world.blames(request)).collect()
}

/// The same reports lead to the same verdict in whatever order a node hears of them.
#[test]
fn judged_alike_in_any_order() {
    fn holds(mut told: Vec<Told>) -> bool {
        let mut seen = HashSet::new();
        told.retain(|(upstream, node, _)| seen.insert((upstream % 8, node % 3)));
        verdict(told.iter()) == verdict(told.iter().rev())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 7))
        .tests(300)
        .quickcheck(holds as fn(Vec<Told>) -> bool);
}
