//! Deadlines for requests on adapter versions that operators have replaced.

mod direct_support;

use std::sync::Arc;

use chivevalve::buffer;
use chivevalve::clock::{Clock, Manual, Millis};
use chivevalve::direct::attempt::{RequestMessage, SendError};
use chivevalve::direct::controllers::Controllers;
use chivevalve::direct::dialect::{Dialect, DispatchHeaders, UpstreamEntry};
use chivevalve::direct::entry::Frontend;
use chivevalve::direct::limits::{Limits, SharedLimits};
use chivevalve::direct::metadata::{RequestKind, RequestMetadata};
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::upstream::Upstream;
use chivevalve::direct::used_connections::UsedConnections;
use chivevalve::direct::versions::{Declaration, Declarations, VersionWatch};
use chivevalve::direct::view::View;
use chivevalve::metrics::Metrics;
use chivevalve::ports::metered::Metered;
use chivevalve_platform::PlatformDialect;
use direct_support::memory::MemoryStore;
use direct_support::records::{entry_revision, listed};
use http::{HeaderMap, Method, Uri};
use quickcheck::{Gen, QuickCheck};
use tokio::net::TcpListener;

const LIMIT: Millis = Millis(5_000);

fn declared(all: &[(u64, u64)]) -> Declarations {
    let mut declarations = Declarations::default();
    for (version, since) in all {
        let since = Some(Millis(*since));
        let version = *version;
        declarations.declare(Declaration { version, since }, LIMIT);
    }
    declarations
}

#[test]
fn begin_deadline_without_a_newer_version() {
    assert_eq!(declared(&[]).begin_deadline(1, LIMIT), None);
    assert_eq!(declared(&[(2, 1_000)]).begin_deadline(2, LIMIT), None);
    assert_eq!(declared(&[(2, 1_000)]).begin_deadline(3, LIMIT), None);
}

#[test]
fn begin_deadline_counts_from_the_declaration() {
    let declarations = declared(&[(2, 1_000)]);
    assert_eq!(declarations.begin_deadline(1, LIMIT), Some(Millis(6_000)));
    // Version 0 was loaded without a version, and may be any.
    assert_eq!(declarations.begin_deadline(0, LIMIT), Some(Millis(6_000)));
}

/// A later declaration doesn't extend the deadline of versions that were already replaced.
#[test]
fn begin_deadline_outlasts_a_later_declaration() {
    let declarations = declared(&[(2, 1_000), (3, 3_400), (4, 5_800)]);
    assert_eq!(declarations.begin_deadline(1, LIMIT), Some(Millis(6_000)));
    assert_eq!(declarations.begin_deadline(2, LIMIT), Some(Millis(8_400)));
    assert_eq!(declarations.begin_deadline(3, LIMIT), Some(Millis(10_800)));
    assert_eq!(declarations.begin_deadline(4, LIMIT), None);
}

/// An older declaration that arrives late is ignored.
#[test]
fn declare_older_is_ignored() {
    let declarations = declared(&[(3, 1_000), (2, 2_000)]);
    assert_eq!(declarations.newest().map(|one| one.version), Some(3));
    assert_eq!(declarations.begin_deadline(2, LIMIT), Some(Millis(6_000)));
}

/// After any series of declarations, a version's deadline is that of the earliest newer one.
#[test]
fn begin_deadline_is_the_earliest_of_all_newer() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let (mut version, mut now) = (1, Millis::ZERO);
        let mut all: Vec<(u64, Millis)> = Vec::new();
        let mut declarations = Declarations::default();
        for (step, pause) in steps {
            version += u64::from(step % 3);
            now += Millis(u64::from(pause % 9_000));
            let declaration = Declaration {
                version,
                since: Some(now),
            };
            if declarations.declare(declaration, LIMIT) {
                all.push((version, now));
            }
            for held in 0..=version {
                let newer = all.iter().filter(|(version, _)| *version > held);
                let expected = newer.map(|(_, since)| *since + LIMIT).min();
                let found = declarations.begin_deadline(held, LIMIT);
                // Deadlines that have passed needn't be equal.
                let both_past = [expected, found]
                    .iter()
                    .all(|at| at.is_some_and(|at| at <= now));
                if found != expected && !both_past {
                    return false;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 33))
        .tests(400)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

/// Returns the watch of a request on version 1, with its clock and the state that holds its limits.
fn watched() -> (VersionWatch, Arc<Manual>, Arc<Frontend>) {
    let manual = Arc::new(Manual::default());
    let clock: Arc<dyn Clock> = Arc::<Manual>::clone(&manual);
    let view = Arc::new(View::default());
    let dialect: Arc<dyn Dialect> = Arc::new(PlatformDialect);
    let metrics = Arc::new(Metrics::new());
    let memory = Arc::new(MemoryStore::default());
    let service = Arc::new(Metered::new(
        Arc::<MemoryStore>::clone(&memory),
        Arc::<MemoryStore>::clone(&memory),
        memory,
        Arc::clone(&metrics),
        Arc::clone(&clock),
    ));
    let controllers = Arc::new(Controllers::new(
        Arc::clone(&view),
        Arc::new(Ownership::new(Arc::clone(&clock), Arc::clone(&view))),
        Arc::clone(&dialect),
        Arc::clone(&clock),
        "node-1".into(),
        metrics,
    ));
    let frontend = Arc::new(Frontend::new(
        view,
        controllers,
        dialect,
        clock,
        "hall-a".into(),
        Arc::new(SharedLimits::default()),
        service,
        None,
    ));
    let engine = Upstream::new(
        &listed("i-1", &[("base/a1", 1)]),
        entry_revision(1),
        1,
        Millis::ZERO,
    );
    let adapter = "base/a1".into();
    let watch = VersionWatch::new(Arc::clone(&frontend), Arc::new(engine), adapter, 1, true);
    (watch, manual, frontend)
}

fn declare(frontend: &Frontend, version: u64, since: Millis) {
    let since = Some(since);
    let declaration = Declaration { version, since };
    let mut state = frontend.view.state();
    let declarations = state.versions.entry("base/a1".into()).or_default();
    declarations.declare(declaration, LIMIT);
    drop(state);
    frontend.view.changed.notify_waiters();
}

/// Advances the timers, which stop while the VM is suspended, and the clock by `span`.
async fn pass(manual: &Manual, span: Millis) {
    for _ in 0..span.0 / 10 {
        manual.advance(Millis(10));
        tokio::time::sleep(Millis(10).duration()).await;
    }
}

/// A request is withdrawn at the deadline even if the VM was suspended for part of the time.
#[tokio::test(start_paused = true)]
async fn expired_after_a_suspension() {
    let (watch, manual, frontend) = watched();
    declare(&frontend, 2, Millis(1));
    let expired = tokio::spawn(async move { watch.expired().await });
    pass(&manual, Millis(1_000)).await;
    manual.advance(Millis(3_000));
    pass(&manual, Millis(950)).await;
    assert!(expired.is_finished());
}

/// A request is withdrawn by the limit in force, even if a reload has shortened it since.
#[tokio::test(start_paused = true)]
async fn expired_by_a_limit_made_shorter() {
    let (watch, manual, frontend) = watched();
    declare(&frontend, 2, Millis(1));
    let expired = tokio::spawn(async move { watch.expired().await });
    pass(&manual, Millis(1_000)).await;
    frontend.limits.set(Limits {
        version_rollout: Millis(3_000),
        ..Limits::default()
    });
    pass(&manual, Millis(2_000)).await;
    assert!(expired.is_finished());
}

/// A request past its deadline isn't sent, and so is known not to have run.
#[tokio::test]
async fn send_past_the_limit() {
    let (watch, manual, frontend) = watched();
    declare(&frontend, 2, Millis(1));
    manual.advance(LIMIT + LIMIT);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = UpstreamEntry {
        address: listener.local_addr().unwrap(),
        ..listed("i-1", &[("base/a1", 1)])
    };
    let engine = Arc::new(Upstream::new(&engine, entry_revision(1), 1, Millis::ZERO));
    let message = RequestMessage {
        method: Method::POST,
        uri: Uri::from_static("/digest/x"),
        headers: HeaderMap::new(),
        body: "the request".into(),
        memory: frontend.bodies.reserve(buffer::Limit::new(1_000)),
        metadata: RequestMetadata::default(),
        kind: RequestKind::Stream { resumable: false },
        subjects: std::sync::OnceLock::new(),
        used_connections: UsedConnections::default(),
    };
    let dispatch = DispatchHeaders {
        incarnation: "i-1".into(),
        deadline: LIMIT,
        urgency: None,
        version: Some(1),
        resume_after: None,
        kv_cache: None,
    };
    let paths = &frontend.paths;
    let sent = message.send(
        &engine,
        paths,
        &PlatformDialect,
        &dispatch,
        None,
        Some(watch),
    );
    let miss = sent.await.unwrap_err();
    assert_eq!(miss, SendError::Withdrawn { sent: false });
}
