//! What a node concludes from connections that it could or couldn't open.

mod direct_support;

use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::direct::reachability::{Advice, Loss, Reachability};
use chivevalve::direct::upstream::Upstream;
use direct_support::records::{entry_revision, listed};
use quickcheck::{Gen, QuickCheck};

/// Longer than any conclusion lasts without further evidence.
const LONG: Millis = Millis(10_000);

/// Longer than a loss must last before others take over.
const LASTING: Millis = Millis(1_100);

fn upstreams(count: usize) -> Vec<Arc<Upstream>> {
    let upstream = |number| {
        let listed = listed(&format!("i-{number}"), &[]);
        Arc::new(Upstream::new(&listed, entry_revision(1), 8, Millis::ZERO))
    };
    (0..count).map(upstream).collect()
}

/// The failure of one server is taken for the node's own loss.
#[test]
fn failures_of_one_upstream() {
    let (reach, all) = (Reachability::default(), upstreams(3));
    for at in 0..50 {
        reach.record_failure(&all[0], Loss::Refused, Millis(at * 100));
    }
    let now = Millis(5_000);
    assert!(!reach.is_cut_off(&all[0].pool, now));
    assert!(reach.lacks_path(&all[0], now));
    assert_eq!(reach.advise(&all[1], now), Advice::Direct);
}

/// A node that has lost all paths waits for each upstream anew.
#[test]
fn failures_of_two_upstreams() {
    let (reach, all) = (Reachability::default(), upstreams(3));
    reach.record_failure(&all[0], Loss::Silent, Millis(1_000));
    reach.record_failure(&all[1], Loss::Silent, Millis(1_100));
    let now = Millis(1_200);
    assert!(reach.is_cut_off(&all[2].pool, now));
    assert!(reach.distrusts_open_connections(&all[2].pool, now));
    assert_eq!(reach.advise(&all[1], now), Advice::Bypass);
}

/// A sound upstream isn't tried because several others have crashed.
#[test]
fn sound_upstream_beside_failing_ones() {
    let (reach, all) = (Reachability::default(), upstreams(3));
    for upstream in &all[..2] {
        reach.record_failure(upstream, Loss::Refused, Millis(1_000));
    }
    for at in 1_000..1_010 {
        assert_eq!(reach.advise(&all[2], Millis(at)), Advice::Both);
    }
    assert!(!reach.lacks_path(&all[2], Millis(1_010)));
    reach.record_bypass(&all[2], Millis(1_010));
    assert!(reach.lacks_path(&all[2], Millis(1_011)));
}

/// Connections that live on while new ones are refused are closed.
#[test]
fn refused_leaves_open_connections_alone() {
    let (reach, all) = (Reachability::default(), upstreams(2));
    for upstream in &all {
        reach.record_failure(upstream, Loss::Refused, Millis(1_000));
    }
    assert!(reach.is_cut_off(&all[0].pool, Millis(1_000)));
    assert!(!reach.distrusts_open_connections(&all[0].pool, Millis(1_000)));
}

/// A node that reaches one upstream takes itself for cut off.
#[test]
fn success_ends_the_cut() {
    let (reach, all) = (Reachability::default(), upstreams(3));
    for upstream in &all {
        reach.record_failure(upstream, Loss::Silent, Millis(1_000));
    }
    reach.record_success(&all[2], Millis(1_100));
    assert!(!reach.is_cut_off(&all[0].pool, Millis(1_100)));
    for upstream in &all {
        assert_eq!(reach.advise(upstream, Millis(1_100)), Advice::Direct);
    }
}

/// A node without evidence stays cut off for good.
#[test]
fn conclusions_expire() {
    let (reach, all) = (Reachability::default(), upstreams(2));
    for upstream in &all {
        reach.record_failure(upstream, Loss::Silent, Millis(1_000));
    }
    let now = Millis(1_000) + LONG;
    assert!(!reach.lacks_path(&all[0], now));
    assert_eq!(reach.advise(&all[0], now), Advice::Direct);
}

/// An owner gives up engines that nobody else reaches either.
#[test]
fn reached_by_others_needs_their_success() {
    let (reach, all) = (Reachability::default(), upstreams(2));
    let fail = |at| {
        for upstream in &all {
            reach.record_failure(upstream, Loss::Refused, at);
        }
    };
    fail(Millis(1_000));
    let later = Millis(1_000) + LASTING;
    fail(later);
    assert!(!reach.is_reached_by_others(&all[0], later));
    reach.record_bypass(&all[1], later);
    assert!(reach.is_reached_by_others(&all[0], later));
    let much_later = later + LONG;
    fail(much_later);
    assert!(!reach.is_reached_by_others(&all[0], much_later));
}

/// What a series does at one of four upstreams.
#[derive(Debug, Clone, Copy)]
enum Event {
    Failure(Loss),
    Success,
    Bypass,
    Advice,
}

fn event(choice: u8) -> Event {
    match choice % 5 {
        0 => Event::Failure(Loss::Refused),
        1 => Event::Failure(Loss::Silent),
        2 => Event::Success,
        3 => Event::Bypass,
        _ => Event::Advice,
    }
}

/// A cut-off node floods upstreams with attempts, or stays cut off beside a success.
#[test]
fn any_series() {
    fn holds(series: Vec<(u8, u8, u16)>) -> bool {
        let (reach, all) = (Reachability::default(), upstreams(4));
        let mut now = Millis(LONG.0);
        let mut last_direct: Option<Millis> = None;
        let mut failed: Vec<usize> = Vec::new();
        let mut failed_at: [Option<Millis>; 4] = [None; 4];
        for (choice, which, passed) in series {
            now += Millis(u64::from(passed % 700));
            let which = usize::from(which % 4);
            let upstream = &all[which];
            match event(choice) {
                Event::Failure(loss) => {
                    reach.record_failure(upstream, loss, now);
                    failed_at[which] = Some(now);
                    if !failed.contains(&which) {
                        failed.push(which);
                    }
                }
                Event::Success => {
                    let was_cut_off = failed.len() >= 2;
                    reach.record_success(upstream, now);
                    failed.clear();
                    failed_at[which] = None;
                    if was_cut_off {
                        failed_at = [None; 4];
                    }
                    last_direct = None;
                    if reach.is_cut_off(&upstream.pool, now) {
                        return false;
                    }
                }
                Event::Bypass => reach.record_bypass(upstream, now),
                Event::Advice => {
                    let was_cut_off = reach.is_cut_off(&upstream.pool, now);
                    let advice = reach.advise(upstream, now);
                    let is_failing =
                        failed_at[which].is_some_and(|at| now.since(at) < Millis(3_000));
                    if was_cut_off && !is_failing && advice != Advice::Both {
                        return false;
                    }
                    if was_cut_off && is_failing {
                        let is_early =
                            last_direct.is_some_and(|last| now.since(last) < Millis(500));
                        if advice == Advice::Direct || (advice == Advice::Both && is_early) {
                            return false;
                        }
                        if advice == Advice::Both {
                            last_direct = Some(now);
                        }
                    }
                }
            }
            if failed.len() < 2 && reach.is_cut_off(&upstream.pool, now) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 49))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}
