//! Reloading of settings while a node runs.

use std::sync::Arc;

use chivevalve::clock::Millis;
use chivevalve::direct::budget::RetryBudget;
use chivevalve::direct::limits::{Limits, RetryLimits, SharedLimits};
use chivevalve::direct::node::Settings;
use chivevalve::direct::reload::{Reload, ReloadOutcome};

fn settings() -> Settings {
    let address = "127.0.0.1:1".parse().unwrap();
    Settings {
        node: "one".into(),
        failure_domain: "a".into(),
        callers: address,
        readiness: address,
        peers: address,
        metrics: address,
        store: address,
        first_start: true,
        limits: Limits::default(),
    }
}

fn reload() -> (Reload, Arc<SharedLimits>) {
    let limits = Arc::new(SharedLimits::default());
    (Reload::new(settings(), Arc::clone(&limits)), limits)
}

/// Changed limits take effect at once, without a restart.
#[test]
fn apply_limits_at_once() {
    let (reload, limits) = reload();
    let mut budget = RetryBudget::new(Arc::clone(&limits), None);
    let pool = "engines".into();
    assert!(budget.try_retry(&pool, Millis(0), 1));
    let mut changed = settings();
    changed.limits.order_gap = Millis(5_000);
    changed.limits.retries = RetryLimits {
        extra: 0,
        ratio: 0.0,
        ..changed.limits.retries
    };
    assert_eq!(reload.apply(Ok(changed.clone())), ReloadOutcome::Applied);
    assert_eq!(limits.get().order_gap, Millis(5_000));
    assert!(!budget.try_retry(&pool, Millis(0), 1));
    assert_eq!(reload.apply(Ok(changed)), ReloadOutcome::Unchanged);
}

/// Invalid settings leave the last valid ones in force.
#[test]
fn apply_invalid_settings_keeps_the_last_valid_ones() {
    let (reload, limits) = reload();
    let mut changed = settings();
    changed.limits.shutdown = Millis(4_000);
    let invalid = || Err("node is missing".to_owned());
    assert_eq!(reload.apply(invalid()), ReloadOutcome::Rejected);
    assert_eq!(reload.apply(invalid()), ReloadOutcome::Unchanged);
    assert_eq!(limits.get(), Limits::default());
    assert_eq!(reload.apply(Ok(changed)), ReloadOutcome::Applied);
    assert_eq!(limits.get().shutdown, Millis(4_000));
}

#[test]
fn apply_address_takes_effect_at_the_next_start() {
    let (reload, limits) = reload();
    let mut changed = settings();
    changed.store = "127.0.0.1:2".parse().unwrap();
    changed.limits.config_apply = Millis(1_000);
    assert_eq!(reload.apply(Ok(changed)), ReloadOutcome::RestartRequired);
    assert_eq!(limits.get().config_apply, Millis(1_000));
}
