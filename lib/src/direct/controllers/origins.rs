//! Remembering where streams began beyond the loss of their node.
//!
//! A node tells a few others where its streams began, and one at which a caller resumes a stream
//! asks them. Pools whose upstreams have all run one software version need neither. What nobody
//! remembers is only a reason to reject: these nodes keep no state that others rely on. See
//! docs/design/0017-streams-and-software-versions.md.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::stream::{FuturesUnordered, StreamExt};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tonic::Status;

use super::Controllers;
use crate::clock::Millis;
use crate::direct::origin::{KEEPERS, Ledger, Origin, Record, StreamKey};
use crate::direct::origin_store::{BATCH_SIZE, OriginStore};
use crate::direct::software_store::SoftwareStore;
use crate::name::Name;
use crate::schema::direct::{
    FindOriginReply, FindOriginRequest, RecordOriginsRequest, StreamOrigin,
};

/// How long origins are collected before they are sent.
const SEND_DELAY: Millis = Millis(5);

/// Interval at which this node looks whether a second software version has appeared.
const CHECK_INTERVAL: Millis = Millis(250);

/// Timeout of sending origins to another node.
const SEND_TIMEOUT: Millis = Millis(800);

/// Timeout of asking other nodes for an origin.
const FIND_TIMEOUT: Millis = Millis(250);

/// Origins of streams that this node began or that others have told it.
#[derive(Debug, Default)]
pub struct Origins {
    ledger: Mutex<Ledger>,
    /// Whether other nodes need to be told of some streams.
    is_sending: AtomicBool,
    /// Notified when a stream began that other nodes may need to be told of.
    begun: Notify,
}

/// Result of looking for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginSearch {
    /// This node remembers it.
    Here(Origin),
    /// Another node remembers it.
    Elsewhere(Origin),
    /// The key-value service has a copy.
    Copied(Origin),
    /// Nobody remembers it, but only one origin is possible.
    Only(Origin),
    /// Nobody remembers it, and it may have begun at one of several software versions or pools, or
    /// at one that isn't listed any more.
    Unknown,
}

impl OriginSearch {
    /// Returns the origin, if it is certain.
    #[must_use]
    pub const fn origin(&self) -> Option<&Origin> {
        match self {
            Self::Here(origin)
            | Self::Elsewhere(origin)
            | Self::Copied(origin)
            | Self::Only(origin) => Some(origin),
            Self::Unknown => None,
        }
    }

    /// Returns the name used in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Here(_) => "here",
            Self::Elsewhere(_) => "elsewhere",
            Self::Copied(_) => "copied",
            Self::Only(_) => "only",
            Self::Unknown => "unknown",
        }
    }
}

impl Origins {
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Controllers {
    /// Records where a stream of this node began.
    pub fn record_origin(&self, stream: StreamKey, origin: Origin) {
        let now = self.clock.now();
        let record = Record {
            stream,
            origin,
            at: now,
        };
        self.origins.ledger().begin(record, now);
        if self.origins.is_sending.load(Ordering::Relaxed) {
            self.origins.begun.notify_one();
        }
    }

    /// Records origins that another node told.
    pub(in crate::direct) fn insert_origins(&self, origins: Vec<StreamOrigin>) {
        let now = self.clock.now();
        let mut ledger = self.origins.ledger();
        for origin in origins {
            let at = Millis(now.0.saturating_sub(origin.age_ms));
            ledger.insert(record_from(origin, at), now);
        }
    }

    /// Finds where a stream began, in one of the pools.
    ///
    /// That there is only one origin counts if the key-value service says so now, or if the service
    /// doesn't answer and none of the nodes that would have been told of another origin has been. All
    /// of them have to say so: those that this node reaches may be cut off together with it.
    pub async fn find_origin(
        &self,
        stream: Option<StreamKey>,
        pools: &[Name],
        software: &SoftwareStore,
    ) -> OriginSearch {
        if let Some(origin) = stream.and_then(|stream| self.remembered_origin(stream)) {
            return OriginSearch::Here(origin);
        }
        let is_confirmed = self.only_origin(pools).is_some() && software.refresh(pools).await;
        let only = self.only_origin(pools);
        if is_confirmed && let Some(origin) = only {
            return OriginSearch::Only(origin);
        }
        let Some(stream) = stream else {
            return OriginSearch::Unknown;
        };
        let mut is_ambiguous = false;
        let mut answers = 0;
        let keepers = self.keepers(stream);
        let mut calls: FuturesUnordered<_> = keepers
            .iter()
            .map(|address| self.ask_origin(*address, stream, pools))
            .collect();
        while let Some(reply) = calls.next().await {
            match reply {
                Ok(FindOriginReply {
                    origin: Some(origin),
                    ..
                }) => {
                    let now = self.clock.now();
                    let at = Millis(now.0.saturating_sub(origin.age_ms));
                    let record = record_from(origin, at);
                    let origin = record.origin.clone();
                    self.origins.ledger().insert(record, now);
                    return OriginSearch::Elsewhere(origin);
                }
                Ok(reply) => {
                    answers += 1;
                    is_ambiguous |= reply.ambiguous;
                }
                Err(status) => log::info!("origins: no answer: {}", status.message()),
            }
        }
        let is_denied = is_ambiguous || keepers.is_empty() || answers < keepers.len();
        match only {
            Some(origin) if !is_confirmed && !is_denied => OriginSearch::Only(origin),
            _ => OriginSearch::Unknown,
        }
    }

    /// Answers another node that looks for an origin.
    pub(in crate::direct) fn answer_origin(&self, request: &FindOriginRequest) -> FindOriginReply {
        let now = self.clock.now();
        let pools: Vec<Name> = request
            .pools
            .iter()
            .map(|pool| pool.as_str().into())
            .collect();
        let ambiguous = self.only_origin(&pools).is_none();
        let ledger = self.origins.ledger();
        let stream = StreamKey(request.stream);
        let origin = ledger.record(stream, now);
        FindOriginReply {
            origin: origin.map(|record| origin_message(&record, now)),
            ambiguous,
        }
    }

    fn remembered_origin(&self, stream: StreamKey) -> Option<Origin> {
        let record = self.origins.ledger().record(stream, self.clock.now());
        record.map(|record| record.origin)
    }

    /// Returns the only origin that streams of these pools may have; `None` if there are several or
    /// a record of their software versions isn't known.
    fn only_origin(&self, pools: &[Name]) -> Option<Origin> {
        let mut only = None;
        for pool in pools {
            for software in self.view.software_versions(pool)? {
                let pool = Name::clone(pool);
                if only.replace(Origin { pool, software }).is_some() {
                    return None;
                }
            }
        }
        only
    }

    async fn ask_origin(
        &self,
        address: SocketAddr,
        stream: StreamKey,
        pools: &[Name],
    ) -> Result<FindOriginReply, Status> {
        let request = FindOriginRequest {
            stream: stream.0,
            pools: pools.iter().map(ToString::to_string).collect(),
        };
        let mut client = self.client(address);
        let call = client.find_origin(request);
        match tokio::time::timeout(FIND_TIMEOUT.duration(), call).await {
            Ok(reply) => reply.map(tonic::Response::into_inner),
            Err(_) => Err(Status::deadline_exceeded(format!(
                "{address} is silent for {FIND_TIMEOUT}"
            ))),
        }
    }

    /// Returns the addresses of the other nodes that remember a stream's origin.
    fn keepers(&self, stream: StreamKey) -> SmallVec<[SocketAddr; KEEPERS]> {
        let state = self.view.state();
        let nodes = state.nodes.iter();
        let keepers = stream.keepers(nodes.map(|(node, peer)| (node, &peer.failure_domain)));
        let others = keepers.into_iter().filter(|node| **node != self.node);
        others.map(|node| state.nodes[node].address).collect()
    }

    /// Sends origins to other nodes and to the key-value service, until the task is dropped.
    pub async fn run_origins(self: Arc<Self>, copies: Arc<OriginStore>) {
        let mut copied_at = Millis::ZERO;
        loop {
            tokio::select! {
                () = self.origins.begun.notified() => {
                    tokio::time::sleep(SEND_DELAY.duration()).await;
                }
                () = tokio::time::sleep(CHECK_INTERVAL.duration()) => {}
            }
            let needed = self.pools_with_several_origins();
            let is_sending = !needed.is_empty();
            self.origins.is_sending.store(is_sending, Ordering::Relaxed);
            if !is_sending {
                continue;
            }
            self.send_origins(&needed);
            let now = self.clock.now();
            let nodes = self.view.state().max_nodes_seen;
            if now.since(copied_at) >= OriginStore::interval(nodes) {
                copied_at = now;
                self.copy_origins(&needed, &copies);
            }
        }
    }

    /// Starts to write copies of origins to the key-value service.
    fn copy_origins(&self, needed: &[Name], copies: &Arc<OriginStore>) {
        let now = self.clock.now();
        let is_needed = |pool: &Name| needed.contains(pool);
        let records = self
            .origins
            .ledger()
            .take_uncopied(now, BATCH_SIZE, is_needed);
        if !records.is_empty() {
            let copies = Arc::clone(copies);
            tokio::spawn(async move { copies.write(&records).await });
        }
    }

    /// Starts to send the origins that other nodes need to know.
    fn send_origins(self: &Arc<Self>, needed: &[Name]) {
        let now = self.clock.now();
        let records = self
            .origins
            .ledger()
            .take_untold(now, |pool| needed.contains(pool));
        let mut requests: HashMap<SocketAddr, RecordOriginsRequest> = HashMap::new();
        for record in records {
            for address in self.keepers(record.stream) {
                let request = requests.entry(address).or_default();
                request.origins.push(origin_message(&record, now));
            }
        }
        for (address, request) in requests {
            let controllers = Arc::clone(self);
            tokio::spawn(async move { controllers.send_origins_to(address, request).await });
        }
    }

    async fn send_origins_to(&self, address: SocketAddr, request: RecordOriginsRequest) {
        let count = request.origins.len();
        let mut client = self.client(address);
        let call = client.record_origins(request);
        let outcome = match tokio::time::timeout(SEND_TIMEOUT.duration(), call).await {
            Ok(Ok(_)) => "received",
            Ok(Err(status)) => {
                log::info!("origins: {address} takes none: {}", status.message());
                "failed"
            }
            Err(_) => {
                log::info!("origins: {address} takes none within {SEND_TIMEOUT}");
                "failed"
            }
        };
        let sent = self.metrics.origins_sent.with_label_values(&[outcome]);
        sent.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    /// Returns the pools whose streams may have several origins: by software versions, or as a
    /// route has several pools.
    fn pools_with_several_origins(&self) -> Vec<Name> {
        let mut state = self.view.state();
        let mut pools = state.pool_names();
        let config = state.config.clone();
        let shared = config.as_ref().map(|config| config.shared_pools());
        pools.retain(|pool| {
            let listed = state.listed_software(pool);
            let is_shared = shared.as_ref().is_some_and(|shared| shared.contains(pool));
            let possible = state.software.possible(pool, &listed);
            is_shared || possible.is_none_or(|versions| versions.len() > 1)
        });
        pools
    }
}

fn origin_message(record: &Record, now: Millis) -> StreamOrigin {
    StreamOrigin {
        stream: record.stream.0,
        pool: record.origin.pool.to_string(),
        software: record.origin.software.to_string(),
        age_ms: now.since(record.at).0,
    }
}

fn record_from(message: StreamOrigin, at: Millis) -> Record {
    Record {
        stream: StreamKey(message.stream),
        origin: Origin {
            pool: message.pool.into(),
            software: message.software.into(),
        },
        at,
    }
}
