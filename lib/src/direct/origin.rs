//! Where a stream began, which binds the rest of it, and what a node remembers of that.
//!
//! What two software versions write doesn't fit together, and upstreams don't check it. The first
//! event that reaches the caller binds a stream to the software version that wrote it, for the rest
//! of the response and for the caller's later attempts, at any node. See
//! docs/design/0017-streams-and-software-versions.md.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use smallvec::SmallVec;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use super::metadata::RequestMetadata;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::name::Name;

/// How long a stream's origin is remembered.
///
/// It exceeds the time for which callers try to complete a stream.
pub const STREAM_LIFETIME: Millis = Millis::from_secs(60);

/// Origins that a node remembers; the oldest are forgotten first.
const MAX_RECORDS: usize = 32_768;

/// Nodes that may remember a stream's origin besides the one that began it.
///
/// The node that began it tells all of them but itself, and a node that looks for it asks all.
pub const KEEPERS: usize = 3;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// The pool that serves it.
    pub pool: Name,
    /// The software version that wrote its first event.
    pub software: Name,
}

impl Origin {
    /// Returns the origin of streams that begin at an upstream.
    #[must_use]
    pub fn at(upstream: &Upstream) -> Self {
        Self {
            pool: Name::clone(&upstream.pool),
            software: Name::clone(&upstream.software),
        }
    }

    /// Whether a stream of this origin may go on at an upstream.
    #[must_use]
    pub fn allows(&self, upstream: &Upstream) -> bool {
        self.pool == upstream.pool && self.software == upstream.software
    }
}

/// Identifies a stream over all of its caller's attempts.
///
/// It covers the caller and the model, so that a caller who names a foreign attempt learns nothing
/// about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that a request begins or resumes; `None` if the request names
    /// no attempt.
    #[must_use]
    pub fn of(request: &RequestMetadata) -> Option<Self> {
        let attempt = match request.resume_after {
            Some(_) => request.resumes.as_deref()?,
            None => request.id.as_deref()?,
        };
        let caller = request.caller.as_deref().unwrap_or_default();
        let model = request.model.as_deref().unwrap_or_default();
        let mut hash = Xxh3::new();
        for field in [attempt, caller, model] {
            hash.update(&field.len().to_le_bytes());
            hash.update(field.as_bytes());
        }
        Some(Self(hash.digest()))
    }

    /// Returns the nodes that remember this stream's origin, out of all nodes by name and failure
    /// domain.
    ///
    /// They are in different failure domains as far as possible. All nodes that see the same nodes
    /// return the same ones, and most of them stay when nodes come or go.
    #[must_use]
    pub fn keepers<'a>(
        self,
        nodes: impl Iterator<Item = (&'a Name, &'a Name)>,
    ) -> SmallVec<[&'a Name; KEEPERS]> {
        let mut ranked: Vec<(u64, &Name, &Name)> = nodes
            .map(|(node, domain)| (xxh3_64_with_seed(node.as_bytes(), self.0), node, domain))
            .collect();
        ranked.sort_unstable_by_key(|(rank, node, _)| Reverse((*rank, *node)));
        let mut keepers: SmallVec<[(&Name, &Name); KEEPERS]> = SmallVec::new();
        while keepers.len() < KEEPERS {
            let left = || {
                let ranked = ranked.iter().map(|(_, node, domain)| (*node, *domain));
                ranked.filter(|(node, _)| !keepers.iter().any(|(keeper, _)| keeper == node))
            };
            let in_another_domain =
                left().find(|(_, domain)| !keepers.iter().any(|(_, other)| other == domain));
            match in_another_domain.or_else(|| left().next()) {
                Some(next) => keepers.push(next),
                None => break,
            }
        }
        keepers.into_iter().map(|(node, _)| node).collect()
    }

    /// Returns how many of some nodes come before one in the order of this key.
    ///
    /// The node doesn't have to be among them.
    #[must_use]
    pub fn nodes_before<'a>(self, node: &Name, nodes: impl Iterator<Item = &'a Name>) -> u64 {
        let rank = |node: &Name| xxh3_64_with_seed(node.as_bytes(), self.0);
        let own = (rank(node), node);
        let before = nodes.filter(|other| (rank(other), *other) > own);
        u64::try_from(before.count()).unwrap_or(u64::MAX)
    }
}

/// A stream's origin and when it began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Identifies the stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: Origin,
    /// When its first event reached the caller, by this node's clock.
    pub at: Millis,
}

#[derive(Debug)]
struct Remembered {
    origin: Origin,
    /// When the stream began.
    at: Millis,
    recorded_at: Millis,
}

/// The origins that a node remembers.
#[derive(Debug, Default)]
pub struct Ledger {
    origins: HashMap<StreamKey, Remembered>,
    /// Streams in the order in which they were recorded; some were recorded again since.
    by_age: VecDeque<(Millis, StreamKey)>,
    /// Streams of this node whose origins other nodes haven't been told.
    untold: VecDeque<StreamKey>,
    /// Streams of this node whose origins aren't copied to the key-value service.
    uncopied: VecDeque<StreamKey>,
}

impl Ledger {
    /// Records the origin of a stream that began at this node.
    pub fn begin(&mut self, record: Record, now: Millis) {
        for queue in [&mut self.untold, &mut self.uncopied] {
            queue.push_back(record.stream);
            if queue.len() > MAX_RECORDS {
                queue.pop_front();
            }
        }
        self.insert(record, now);
    }

    /// Records the origin of a stream that another node told.
    pub fn insert(&mut self, record: Record, now: Millis) {
        let remembered = Remembered {
            origin: record.origin,
            at: record.at,
            recorded_at: now,
        };
        self.origins.insert(record.stream, remembered);
        self.by_age.push_back((now, record.stream));
        while let Some((recorded_at, stream)) = self.by_age.front().copied()
            && (now.since(recorded_at) >= STREAM_LIFETIME || self.by_age.len() > MAX_RECORDS)
        {
            self.by_age.pop_front();
            let remembered = self.origins.get(&stream);
            if remembered.is_some_and(|remembered| remembered.recorded_at == recorded_at) {
                self.origins.remove(&stream);
            }
        }
    }

    /// Returns what is remembered of a stream.
    #[must_use]
    pub fn record(&self, stream: StreamKey, now: Millis) -> Option<Record> {
        let Remembered { origin, at, .. } = self.origins.get(&stream)?;
        let record = || Record {
            stream,
            origin: origin.clone(),
            at: *at,
        };
        (now.since(*at) < STREAM_LIFETIME).then(record)
    }

    /// Takes the records that other nodes haven't been told, out of the pools for which that is
    /// needed.
    ///
    /// Those of other pools are kept: they are needed once a second version appears there.
    pub fn take_untold(&mut self, now: Millis, is_needed: impl Fn(&Name) -> bool) -> Vec<Record> {
        let queue = std::mem::take(&mut self.untold);
        let (taken, left) = self.split(queue, now, is_needed);
        self.untold = left;
        taken
    }

    /// Takes the newest records that aren't copied, at most `count`; older ones are given up.
    ///
    /// Those of pools for which copies aren't needed are kept, as by [`Self::take_untold`].
    pub fn take_uncopied(
        &mut self,
        now: Millis,
        count: usize,
        is_needed: impl Fn(&Name) -> bool,
    ) -> Vec<Record> {
        let queue = std::mem::take(&mut self.uncopied);
        let (mut taken, left) = self.split(queue, now, is_needed);
        self.uncopied = left;
        taken.drain(..taken.len().saturating_sub(count));
        taken
    }

    /// Splits streams into the records of pools for which they are needed and the other streams,
    /// without those that are forgotten.
    fn split(
        &self,
        queue: VecDeque<StreamKey>,
        now: Millis,
        is_needed: impl Fn(&Name) -> bool,
    ) -> (Vec<Record>, VecDeque<StreamKey>) {
        let (mut needed, mut others) = (Vec::new(), VecDeque::new());
        for stream in queue {
            match self.record(stream, now) {
                Some(record) if is_needed(&record.origin.pool) => needed.push(record),
                Some(_) => others.push_back(stream),
                None => {}
            }
        }
        (needed, others)
    }

    /// Returns how many origins are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}
