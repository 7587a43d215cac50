//! Parts of membership: the table of claims, witnesses' votes, placement, and lists of upstreams.

use std::net::SocketAddr;

use chivevalve::clock::Millis;
use chivevalve::membership::Limits;
use chivevalve::membership::fleet::State;
use chivevalve::membership::guard::{Guard, Guards};
use chivevalve::membership::node::{Claim, Identity, Keys, Record, Witnesses};
use chivevalve::membership::placement::{self, OwnedCounts};
use chivevalve::membership::table::MembershipTable;
use chivevalve::membership::upstreams::{ListOutcome, Upstreams};
use chivevalve::membership::witness::{VoteRequest, Witness};
use chivevalve::name::Name;
use chivevalve::ports::{Entry, LeaseId, Listing, Vm};

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn claim(token: u64) -> Claim {
    Claim {
        upstream: Name::from("u"),
        node: Name::from("n"),
        incarnation: 1,
        token,
        peer: address(),
    }
}

fn record(name: &str, region: &str, domain: &str) -> Record {
    Record {
        identity: Identity {
            name: Name::from(name),
            incarnation: 1,
            region: Name::from(region),
            failure_domain: Name::from(domain),
            peer: address(),
            operators: address(),
        },
        lease: LeaseId(1),
        witnesses: Witnesses::new(),
        draining: false,
        revision: 1,
        gone: false,
    }
}

fn listing(keys: &Keys, token: u64, revision: u64) -> Listing {
    let entry = Entry {
        key: keys.claim("u"),
        value: claim(token).to_value(),
        revision: token,
        created: 0,
        lease: None,
    };
    Listing {
        entries: vec![entry],
        revision,
    }
}

/// A read whose response arrives late doesn't replace the node's own newer claim by an older one.
#[test]
fn read_late_response() {
    let keys = Keys::new("/p/");
    let mut table = MembershipTable::new(keys.clone(), Guards::all());
    assert!(table.apply_listing(&listing(&keys, 3, 5)));
    assert!(table.merge_claim(claim(7)));
    assert!(table.apply_listing(&listing(&keys, 3, 6)));
    assert_eq!(table.claim("u").map(|claim| claim.token), Some(7));
}

/// A read from a replica that lags doesn't restore an old claim.
#[test]
fn read_stale_replica() {
    let keys = Keys::new("/p/");
    let mut table = MembershipTable::new(keys.clone(), Guards::all());
    assert!(table.apply_listing(&listing(&keys, 6, 9)));
    assert!(!table.apply_listing(&listing(&keys, 3, 5)));
    assert_eq!(table.claim("u").map(|claim| claim.token), Some(6));
}

/// A claim that a full read no longer contains isn't merged from a peer again.
#[test]
fn learn_claim_removed() {
    let keys = Keys::new("/p/");
    let mut table = MembershipTable::new(keys.clone(), Guards::all());
    let empty = Listing {
        entries: Vec::new(),
        revision: 9,
    };
    assert!(table.apply_listing(&empty));
    assert!(!table.merge_claim(claim(8)));
    assert!(table.merge_claim(claim(10)));
}

fn vote_request(registration: u64, withdraw_before: Option<u64>) -> VoteRequest {
    VoteRequest {
        node: Name::from("n"),
        incarnation: 1,
        lease: LeaseId(1),
        registration,
        withdraw_before,
    }
}

fn witness() -> (Witness, Millis) {
    let silence = Limits::default().witness_silence();
    (Witness::new(Millis::ZERO, silence), silence)
}

/// A witness that supports an owner doesn't withdraw while the owner may rely on its vote.
#[test]
fn vote_recently_supported() {
    let (mut witness, now) = witness();
    assert!(witness.vote(now, &vote_request(4, None)).supported);
    let second = now + Millis(1000);
    assert!(!witness.vote(second, &vote_request(4, Some(5))).withdrawn);
    let later = now + Millis(3500);
    assert!(witness.vote(later, &vote_request(4, Some(5))).withdrawn);
}

/// A witness that withdrew never supports that registration again.
#[test]
fn vote_withdrawn() {
    let (mut witness, now) = witness();
    assert!(witness.vote(now, &vote_request(4, Some(5))).withdrawn);
    assert!(!witness.vote(now, &vote_request(4, None)).supported);
    assert!(witness.vote(now, &vote_request(6, None)).supported);
}

/// A restarted witness doesn't vote until every vote that it may have lost has expired.
#[test]
fn vote_restarted() {
    let (mut witness, silence) = witness();
    let before = Millis(silence.0 - 1);
    assert!(!witness.vote(before, &vote_request(4, None)).supported);
    assert!(!witness.vote(before, &vote_request(4, Some(5))).withdrawn);
    assert!(witness.vote(silence, &vote_request(4, None)).supported);
}

/// A restarted witness supports a registration that is newer than its own at once.
#[test]
fn vote_restarted_newer_registration() {
    let (mut witness, _) = witness();
    let soon = Millis(100);
    assert!(!witness.vote(soon, &vote_request(8, None)).supported);
    witness.record_own_registration(7);
    witness.record_own_registration(9);
    assert!(!witness.vote(soon, &vote_request(7, None)).supported);
    assert!(!witness.vote(soon, &vote_request(8, Some(10))).withdrawn);
    assert!(witness.vote(soon, &vote_request(8, None)).supported);
}

/// A witness that evicted its votes doesn't vote as if it had never withdrawn.
#[test]
fn vote_evicted_newer_registration() {
    let (mut witness, silence) = witness();
    witness.record_own_registration(7);
    assert!(witness.vote(silence, &vote_request(8, Some(10))).withdrawn);
    for other in 0..4096 {
        let other = VoteRequest {
            node: Name::from(format!("other-{other}")),
            ..vote_request(8, None)
        };
        witness.vote(silence + Millis(1), &other);
    }
    let later = silence + Millis(2);
    witness.vote(later, &vote_request(8, None));
    assert!(!witness.vote(later, &vote_request(8, None)).supported);
    witness.record_own_registration(20);
    assert!(!witness.vote(later, &vote_request(21, None)).supported);
}

#[test]
fn lease_span_budget() {
    let limits = Limits::default();
    assert_eq!(limits.lease_ttl(9), Millis(3000));
    assert_eq!(limits.lease_ttl(320), Millis(9600));
}

#[test]
fn witnesses_two_nodes() {
    let (a, b) = (record("a", "r", "x"), record("b", "r", "y"));
    let chosen = placement::select_witnesses(&a, &[&a, &b]);
    assert_eq!(&chosen[..], &[Name::from("b")]);
}

/// Witnesses are chosen so that no failure domain has a majority of them.
#[test]
fn witnesses_two_domains() {
    let mut nodes: Vec<Record> = (0..20)
        .map(|at| record(&format!("n{at}"), "r", if at % 2 == 0 { "x" } else { "y" }))
        .collect();
    nodes.push(record("far", "s", "z"));
    let live: Vec<&Record> = nodes.iter().collect();
    let chosen = placement::select_witnesses(&nodes[0], &live);
    assert_eq!(chosen.len(), 9);
    let within = |domain: &str| {
        let of = |name: &&Name| {
            let node = nodes.iter().find(|node| node.identity.name == **name);
            node.is_some_and(|node| *node.identity.failure_domain == *domain)
        };
        chosen.iter().filter(of).count()
    };
    assert_eq!((within("x"), within("y"), within("z")), (4, 4, 1));
}

#[test]
fn successor_shares_evenly() {
    let nodes: Vec<Record> = (0..9)
        .map(|at| record(&format!("n{at}"), "r", "x"))
        .collect();
    let live: Vec<&Record> = nodes.iter().collect();
    let mut load = OwnedCounts::default();
    for upstream in 0..18 {
        let name = format!("u{upstream}");
        let to = placement::successor(&name, &live, &load).expect("there are nodes");
        load.increment(&to.identity.name.clone());
    }
    assert!(
        nodes
            .iter()
            .all(|node| load.owned_by(&node.identity.name) == 2)
    );
}

fn vms(count: usize) -> Vec<Vm> {
    (0..count)
        .map(|at| Vm {
            name: Name::from(format!("u{at}")),
            address: address(),
            pool: Name::from("p"),
            region: Name::from("r"),
            failure_domain: Name::from("x"),
            leaving: false,
        })
        .collect()
}

/// A list that lacks most upstreams is rejected at first, because its source may have restarted.
#[test]
fn list_lacks_many() {
    let mut upstreams = Upstreams::new(Guards::all());
    assert_eq!(
        upstreams.apply_list(Millis(0), vms(9)),
        ListOutcome::Accepted
    );
    let empty = upstreams.apply_list(Millis(1000), Vec::new());
    assert_eq!(empty, ListOutcome::Rejected { missing: 9 });
    let short = upstreams.apply_list(Millis(2000), vms(4));
    assert_eq!(short, ListOutcome::Rejected { missing: 5 });
    assert_eq!(upstreams.all(Millis(2000)).len(), 9);
    assert_eq!(
        upstreams.apply_list(Millis(62_000), vms(4)),
        ListOutcome::Accepted
    );
    assert_eq!(upstreams.all(Millis(62_000)).len(), 4);
}

/// Upstreams that left while this node couldn't read the list would get new work for as long as
/// the list without them is rejected. They are suspended instead.
#[test]
fn list_lacks_many_gets_no_new_work_there() {
    let mut upstreams = Upstreams::new(Guards::all());
    upstreams.apply_list(Millis(0), vms(5));
    let states = |upstreams: &Upstreams, now: Millis| -> Vec<State> {
        let all = vms(5);
        all.iter().map(|vm| upstreams.state(now, vm)).collect()
    };
    let short = upstreams.apply_list(Millis(1_000), vms(3));
    assert_eq!(short, ListOutcome::Rejected { missing: 2 });
    let (usable, suspended) = (State::Usable, State::Suspended);
    let expected = [usable, usable, usable, suspended, suspended];
    assert_eq!(states(&upstreams, Millis(1_000)), expected);
    // If most of a pool is missing, the list is more likely wrong; rejecting all requests is worse.
    upstreams.apply_list(Millis(2_000), vms(2));
    assert_eq!(states(&upstreams, Millis(2_000)), [usable; 5]);
    // The missing upstreams are listed again.
    assert_eq!(
        upstreams.apply_list(Millis(3_000), vms(5)),
        ListOutcome::Accepted
    );
    assert_eq!(states(&upstreams, Millis(3_000)), [usable; 5]);
}

#[test]
fn list_lacks_few() {
    let mut upstreams = Upstreams::new(Guards::all());
    upstreams.apply_list(Millis(0), vms(9));
    assert_eq!(
        upstreams.apply_list(Millis(1000), vms(6)),
        ListOutcome::Accepted
    );
}

/// An upstream that fails again soon after it responded is suspended for longer.
#[test]
fn failed_flapping() {
    let mut upstreams = Upstreams::new(Guards::all());
    upstreams.apply_list(Millis(0), vms(9));
    let state = |upstreams: &Upstreams, at| {
        let found = upstreams.get(Millis(at), "u0");
        found.map(|found| found.state)
    };
    upstreams.record_failure(Millis(1000), "u0");
    assert_eq!(state(&upstreams, 1249), Some(State::Suspended));
    assert_eq!(state(&upstreams, 1250), Some(State::Usable));
    upstreams.record_success(Millis(1300), "u0");
    upstreams.record_failure(Millis(1400), "u0");
    assert_eq!(state(&upstreams, 1899), Some(State::Suspended));
    assert_eq!(state(&upstreams, 1900), Some(State::Usable));
}

/// When most of a pool fails at once, the node itself may be at fault, so no upstream is suspended.
#[test]
fn failed_most_of_pool() {
    let mut upstreams = Upstreams::new(Guards::all());
    upstreams.apply_list(Millis(0), vms(3));
    upstreams.record_failure(Millis(1000), "u0");
    upstreams.record_failure(Millis(1000), "u1");
    let states: Vec<State> = upstreams
        .all(Millis(1001))
        .into_iter()
        .map(|upstream| upstream.state)
        .collect();
    assert_eq!(states, [State::Usable; 3]);
}

#[test]
fn leave_notice_stops_new_work() {
    let mut upstreams = Upstreams::new(Guards::all());
    upstreams.apply_list(Millis(0), vms(9));
    assert!(upstreams.record_leave_notice(Millis(10), "u3"));
    let state = upstreams.get(Millis(20), "u3").map(|found| found.state);
    assert_eq!(state, Some(State::Leaving));
}

/// Whether a witness without a guard violates what the tests above check.
fn violates_without(guard: Guard) -> bool {
    let silence = Limits::default().witness_silence();
    let mut witness = Witness::with_guards(Millis::ZERO, silence, Guards::without(guard));
    match guard {
        Guard::WitnessQuiet => witness.vote(Millis(1), &vote_request(4, None)).supported,
        Guard::WitnessRemembers => {
            witness.vote(silence, &vote_request(4, Some(5)));
            witness.vote(silence, &vote_request(4, None)).supported
        }
        _ => {
            witness.vote(silence, &vote_request(4, None));
            witness
                .vote(silence + Millis(1000), &vote_request(4, Some(5)))
                .withdrawn
        }
    }
}

#[test]
fn guards_of_witnesses() {
    for guard in [
        Guard::WitnessQuiet,
        Guard::WitnessRemembers,
        Guard::WitnessWaits,
    ] {
        assert!(violates_without(guard), "{guard:?}");
    }
}

#[test]
fn guards_of_lists() {
    let without = |guard| {
        let mut upstreams = Upstreams::new(Guards::without(guard));
        upstreams.apply_list(Millis(0), vms(9));
        upstreams
    };
    let mut panicking = without(Guard::PanicThreshold);
    assert_eq!(
        panicking.apply_list(Millis(1), Vec::new()),
        ListOutcome::Accepted
    );
    let mut leaving = without(Guard::LeavingStops);
    leaving.record_leave_notice(Millis(1), "u0");
    let state = leaving.get(Millis(2), "u0").map(|found| found.state);
    assert_eq!(state, Some(State::Usable));
    let mut flapping = without(Guard::FlapBackoff);
    flapping.record_failure(Millis(1000), "u0");
    flapping.record_failure(Millis(1400), "u0");
    let state = flapping.get(Millis(1700), "u0").map(|found| found.state);
    assert_eq!(state, Some(State::Usable));
}

#[test]
fn guards_of_reads() {
    let keys = Keys::new("/p/");
    let mut table = MembershipTable::new(keys.clone(), Guards::without(Guard::StaleRead));
    table.apply_listing(&listing(&keys, 6, 9));
    assert!(table.apply_listing(&listing(&keys, 3, 5)));
}
