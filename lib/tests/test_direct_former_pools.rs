//! Pools at which streams may have begun before the configuration changed.

use chivevalve::clock::Millis;
use chivevalve::direct::config::{Config, RequestLimits, Route};
use chivevalve::direct::former_pools::FormerPools;
use chivevalve::direct::metadata::RequestKind;
use chivevalve::direct::origin::STREAM_LIFETIME;
use smallvec::SmallVec;

const STREAM: RequestKind = RequestKind::Stream { resumable: true };

fn route(prefix: &str, kind: RequestKind, pools: &[(&str, u32)]) -> Route {
    let weights = pools.iter().map(|(pool, weight)| ((*pool).into(), *weight));
    Route {
        name: prefix.into(),
        host: "host.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: None,
        latency_objective: Millis(1_000),
        urgency: 0,
        pool_weights: weights.collect::<SmallVec<_>>(),
        max_attempts: 2,
        max_event_gap: None,
    }
}

fn config(routes: &[Route]) -> Config {
    Config::new(1, routes.to_vec(), [].into(), RequestLimits::default())
}

/// The pools at which streams of a path may have begun, beside those that serve it now.
fn former(old: &[Route], new: &[Route], path: &str, after: Millis) -> Vec<String> {
    let mut pools = FormerPools::default();
    pools.replace(&config(old), &config(new), Millis(1_000));
    let found = pools.at("host.example", path, Millis(1_000) + after);
    found.map(ToString::to_string).collect()
}

#[test]
fn former_pools_of_a_moved_route() {
    let old = [route("/a/", STREAM, &[("one", 1)])];
    let new = [route("/a/", STREAM, &[("two", 1)])];
    assert_eq!(former(&old, &new, "/a/x", Millis(0)), ["one"]);
    let last = STREAM_LIFETIME - Millis(1);
    assert_eq!(former(&old, &new, "/a/x", last), ["one"]);
    assert!(former(&old, &new, "/a/x", STREAM_LIFETIME).is_empty());
    assert!(former(&old, &new, "/b/x", Millis(0)).is_empty());
}

/// A pool that gets no new streams any more has served those that callers resume.
#[test]
fn former_pools_of_a_split_that_ended() {
    let old = [route("/a/", STREAM, &[("one", 1), ("two", 1)])];
    let new = [route("/a/", STREAM, &[("one", 0), ("two", 1)])];
    assert_eq!(former(&old, &new, "/a/x", Millis(0)), ["one", "two"]);
}

/// A route with a longer prefix takes requests over from the one that served them.
#[test]
fn former_pools_behind_a_longer_prefix() {
    let short = route("/a/", STREAM, &[("one", 1)]);
    let long = route("/a/b/", STREAM, &[("two", 1)]);
    let (old, new) = ([short.clone()], [short, long]);
    assert_eq!(former(&old, &new, "/a/b/x", Millis(0)), ["one"]);
    assert!(former(&old, &new, "/a/x", Millis(0)).is_empty());
    assert_eq!(former(&new, &old, "/a/b/x", Millis(0)), ["two"]);
    let root = route("/", STREAM, &[("three", 1)]);
    let (old, new) = (
        [root.clone()],
        [root, route("/a/b/", STREAM, &[("two", 1)])],
    );
    assert_eq!(former(&old, &new, "/a/b/x", Millis(0)), ["three"]);
}

/// What doesn't move streams leaves nothing behind.
#[test]
fn former_pools_of_other_changes() {
    let one = route("/a/", STREAM, &[("one", 1)]);
    let mut slower = one.clone();
    slower.latency_objective = Millis(2_000);
    let other = route("/b/", STREAM, &[("one", 1)]);
    let new = [slower, other];
    assert!(former(std::slice::from_ref(&one), &new, "/a/x", Millis(0)).is_empty());
    assert!(former(&[one], &new, "/b/x", Millis(0)).is_empty());
    let old = [route("/c/", RequestKind::Idempotent, &[("one", 1)])];
    let new = [route("/c/", RequestKind::Idempotent, &[("two", 1)])];
    assert!(former(&old, &new, "/c/x", Millis(0)).is_empty());
}
