//! Reports of upstreams' ends, from node to node.

use std::collections::HashSet;

use xxhash_rust::xxh3::xxh3_64;

use super::{End, Quarantine, REPORT_TTL, Sight, State, Told};
use crate::clock::Millis;
use crate::gossip::GossipState;
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::ledger::{Suspect, Suspicion};
use crate::schema::peer::{self, Delta, Digest};

/// Reports that are told: the newest, two kilobytes of hashes in an exchange.
const MOST_TOLD: usize = 256;

/// Survivors that are told, the newest first.
const MOST_CLEARED: usize = 64;

impl GossipState for Quarantine {
    fn fill_digest(&self, digest: &mut Digest) {
        let now = self.clock.now();
        let state = self.state();
        digest.known_ends = newest(&state).into_iter().map(hash).collect();
        let mut survivors: Vec<peer::Survivor> = state
            .cleared
            .iter()
            .map(|(request, at)| peer::Survivor {
                request: request.to_string(),
                age_ms: age(now, *at),
            })
            .collect();
        survivors
            .sort_by(|one, other| (one.age_ms, &one.request).cmp(&(other.age_ms, &other.request)));
        survivors.truncate(MOST_CLEARED);
        digest.survivors = survivors;
    }

    fn fill_delta(&self, theirs: &Digest, delta: &mut Delta) {
        let now = self.clock.now();
        let known: HashSet<u64> = theirs.known_ends.iter().copied().collect();
        let state = self.state();
        let lacking = newest(&state).into_iter();
        delta.ends = lacking
            .filter(|told| !known.contains(&hash(told)))
            .map(|told| message(told, now))
            .collect();
    }

    fn merge_delta(&self, delta: &Delta) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        let mut is_news = false;
        let survivors = delta.digest.iter().flat_map(|digest| &digest.survivors);
        for survivor in survivors {
            is_news |= learn_survivor(&mut state, survivor, now);
        }
        for report in &delta.ends {
            is_news |= self.learn_end(&mut state, report, now);
        }
        is_news
    }
}

impl Quarantine {
    /// Takes in another node's report, and adds this node's requests at the same end.
    fn learn_end(&self, state: &mut State, report: &peer::EndReport, now: Millis) -> bool {
        let since = now.since(Millis(u64::from(report.age_ms)));
        if report.node == *self.node || now.since(since) >= REPORT_TTL {
            return false;
        }
        let upstream = Name::from(report.upstream.as_str());
        let cleared = &state.cleared;
        let counts = |suspect: &Suspect| {
            let cleared = cleared.get(&suspect.request);
            cleared.is_none_or(|cleared| since > *cleared)
        };
        let told = Told {
            upstream: Name::clone(&upstream),
            end: report.end.as_str().into(),
            node: report.node.as_str().into(),
            since,
            suspects: report
                .suspects
                .iter()
                .filter_map(suspect)
                .filter(counts)
                .collect(),
        };
        let end = Name::clone(&told.end);
        if !self.report(state, told, now) {
            return false;
        }
        let known = state.ends.get(&upstream);
        if known.is_none_or(|known| since > known.since && !known.lasts(now)) {
            let end = End {
                name: end,
                since,
                sight: Sight::Heard,
            };
            state.ends.insert(Name::clone(&upstream), end);
        }
        if state.lost.contains_key(&upstream) {
            self.conclude(state, &upstream, now);
        }
        true
    }
}

fn learn_survivor(state: &mut State, survivor: &peer::Survivor, now: Millis) -> bool {
    let Some(request) = Fingerprint::read(&survivor.request) else {
        return false;
    };
    let at = now.since(Millis(u64::from(survivor.age_ms)));
    if now.since(at) >= REPORT_TTL || state.cleared.contains_key(&request) {
        return false;
    }
    state.clear(&request, at);
    true
}

fn newest(state: &State) -> Vec<&Told> {
    let mut told: Vec<&Told> = state.told.values().collect();
    told.sort_by_key(|one| std::cmp::Reverse(one.since));
    told.truncate(MOST_TOLD);
    told
}

fn hash(told: &Told) -> u64 {
    let mut text = format!("{}/{}", told.end, told.node);
    for suspect in &told.suspects {
        text.push_str(suspect.request.as_str());
        text.push_str(suspect.suspicion.name());
    }
    xxh3_64(text.as_bytes())
}

fn message(told: &Told, now: Millis) -> peer::EndReport {
    let suspects = told.suspects.iter();
    peer::EndReport {
        upstream: told.upstream.to_string(),
        end: told.end.to_string(),
        node: told.node.to_string(),
        age_ms: age(now, told.since),
        suspects: suspects
            .map(|suspect| peer::Suspect {
                request: suspect.request.to_string(),
                begun: suspect.suspicion == Suspicion::Begun,
            })
            .collect(),
    }
}

fn suspect(message: &peer::Suspect) -> Option<Suspect> {
    let suspicion = if message.begun {
        Suspicion::Begun
    } else {
        Suspicion::Possible
    };
    let request = Fingerprint::read(&message.request)?;
    Some(Suspect { request, suspicion })
}

fn age(now: Millis, at: Millis) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
}
