//! The settings as each part's own bounds.

use crate::clock::Millis;
use crate::settings::Settings;
use crate::{config, entry, gossip, membership, owner, peer, policy};

/// Milliseconds in a thousand seconds.
const KILOSECOND: u64 = 1_000_000;

/// Returns the entry's bounds.
pub fn entry(settings: &Settings) -> entry::Limits {
    let limits = &settings.limits;
    let mut entry = entry::Limits {
        head_bytes: size(limits.head_bytes),
        body_bytes: size(limits.body_bytes),
        connections: limits.connections as usize,
        in_flight: limits.in_flight as usize,
        head_timeout: limits.head_timeout,
        body_timeout: limits.body_timeout,
        idle_timeout: limits.idle_timeout,
        write_timeout: limits.write_timeout,
        default_deadline: limits.default_deadline,
        max_deadline: limits.max_deadline,
        default_output_tokens: limits.default_output_tokens,
        retry_percent: limits.retry_percent,
        ..entry::Limits::default()
    };
    entry.rules.max_attempts = limits.attempts;
    entry.placement.max_replicas = settings.policy.max_replicas;
    entry
}

/// Returns the owners' bounds.
pub fn owner(settings: &Settings) -> owner::Limits {
    let policy = &settings.policy;
    owner::Limits {
        machine: policy::upstream::Limits {
            max_queued: settings.limits.queue,
            batch_weight: policy.batch_weight,
            load_time: Millis(KILOSECOND / u64::from(policy.loads_per_kilosecond.max(1))),
            first_token_target: policy.first_token,
            between_tokens_target: policy.between_tokens,
            ..policy::upstream::Limits::default()
        },
        ..owner::Limits::default()
    }
}

/// Returns membership's times and budgets.
pub fn membership(settings: &Settings) -> membership::Limits {
    let platform = &settings.platform;
    membership::Limits {
        min_lease_ttl: platform.lease,
        lease_writes_per_second: platform.lease_writes_per_second,
        directory_poll_interval: platform.directory_poll,
        release_timeout: settings.limits.drain_limit,
        ..membership::Limits::default()
    }
}

/// Returns the configuration's times.
pub fn config(settings: &Settings) -> config::Limits {
    config::Limits {
        call_timeout: settings.platform.call_timeout,
        ..config::Limits::default()
    }
}

/// Returns the exchange's times.
pub fn gossip(settings: &Settings) -> gossip::Limits {
    gossip::Limits {
        interval: settings.platform.gossip,
        ..gossip::Limits::default()
    }
}

/// Returns the bounds of connections between nodes.
pub fn peer(settings: &Settings) -> peer::Limits {
    let entry = entry(settings);
    peer::Limits {
        body_bytes: entry.max_body_bytes.max(entry.body_bytes),
        ..peer::Limits::default()
    }
}

fn size(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
