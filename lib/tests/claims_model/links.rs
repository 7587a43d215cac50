//! What reaches whom: nodes, one another and the key-value service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use chivevalve::clock::Millis;
use chivevalve::direct::claim::{Refusal, Voters};
use chivevalve::direct::dialect::Dialect;
use chivevalve::direct::limits::LEASE_TTL;
use chivevalve::direct::ownership::Ownership;
use chivevalve::direct::view::View;
use chivevalve::ports::poll::{self, Changes, Poll, Query};
use chivevalve::ports::{Commit, Entry, Error, Lease, LeaseId, Listing, Store, Transaction, Write};
use chivevalve_platform::PlatformDialect;

use crate::direct_support::memory::{self, MemoryStore};

/// Time after which a write without a response is carried out, where no other one is set.
const LATE: Millis = Millis(2_500);

/// The state of all links.
#[derive(Debug, Default)]
pub struct State {
    now: Millis,
    pub without_store: BTreeSet<String>,
    /// Nodes whose writes get no response and are carried out late.
    pub late_writers: BTreeSet<String>,
    /// Time after which such a write is carried out, if it isn't [`LATE`].
    pub late_by: Option<Millis>,
    /// Pairs of nodes of which the first doesn't reach the second.
    pub parted: BTreeSet<(String, String)>,
    listeners: BTreeMap<SocketAddr, (String, Arc<Ownership>)>,
    /// Who holds a lease, and when it was last renewed.
    leases: BTreeMap<i64, (String, Millis)>,
    late: Vec<(Millis, Transaction)>,
    is_out: bool,
    expires_in_outage: bool,
}

/// The links and the service.
#[derive(Debug)]
pub struct Links {
    state: Mutex<State>,
    memory: Arc<MemoryStore>,
}

impl State {
    pub fn listen(&mut self, address: SocketAddr, name: &str, ownership: &Arc<Ownership>) {
        let listener = (name.to_owned(), Arc::clone(ownership));
        self.listeners.insert(address, listener);
    }

    pub fn unlisten(&mut self, address: SocketAddr) {
        self.listeners.remove(&address);
    }
}

impl Links {
    pub fn new(memory: Arc<MemoryStore>) -> Self {
        Self {
            state: Mutex::default(),
            memory,
        }
    }

    pub fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().unwrap())
    }

    /// Ends leases that weren't renewed, and carries out late writes.
    pub fn pass(&self, now: Millis) {
        let (expired, late) = self.change(|state| {
            state.now = now;
            if state.is_out && !state.expires_in_outage {
                for (_, renewed) in state.leases.values_mut() {
                    *renewed = now;
                }
            }
            let expired = state
                .leases
                .extract_if(.., |_, (_, renewed)| now.since(*renewed) > LEASE_TTL);
            let expired: Vec<i64> = expired.map(|(lease, _)| lease).collect();
            let is_out = state.is_out;
            let late: Vec<_> = state
                .late
                .extract_if(.., |(at, _)| *at <= now && !is_out)
                .collect();
            (expired, late)
        });
        for lease in expired {
            self.memory.change(|store| store.end_lease(LeaseId(lease)));
        }
        for (_, transaction) in late {
            if self.has_live_leases(&transaction) {
                self.memory.change(|store| store.commit(&transaction));
            }
        }
    }

    /// Whether the leases that a transaction names haven't ended.
    fn has_live_leases(&self, transaction: &Transaction) -> bool {
        let mut writes = transaction.writes.iter();
        self.change(|state| {
            writes.all(|write| match write {
                Write::Put(_, _, Some(lease)) => state.leases.contains_key(&lease.0),
                _ => true,
            })
        })
    }

    pub fn begin_outage(&self, expires: bool) {
        self.change(|state| (state.is_out, state.expires_in_outage) = (true, expires));
        self.memory.change(|store| store.is_unavailable = true);
    }

    pub fn end_outage(&self, now: Millis) {
        self.pass(now);
        self.change(|state| state.is_out = false);
        self.memory.change(|store| store.is_unavailable = false);
    }

    /// Deletes a node's keys while its lease goes on.
    pub fn delete_keys_of(&self, name: &str) {
        for lease in self.leases_of(name) {
            self.memory.change(|store| {
                let entries = store.entries.values();
                let held = entries.filter(|entry| entry.lease == Some(LeaseId(lease)));
                let keys: Vec<String> = held.map(|entry| entry.key.clone()).collect();
                for key in keys {
                    store.remove(&key);
                }
            });
        }
    }

    /// Ends a node's leases, and deletes its keys with them.
    pub fn revoke_leases_of(&self, name: &str) {
        for lease in self.leases_of(name) {
            self.change(|state| state.leases.remove(&lease));
            self.memory.change(|store| store.end_lease(LeaseId(lease)));
        }
    }

    /// Drops the history of changes, so that followers have to read everything again.
    pub fn drop_history(&self) {
        self.memory.change(memory::State::drop_history);
    }

    pub fn delete_record_of(&self, name: &str) {
        let key = PlatformDialect.own_key(&format!("node/{name}"));
        self.memory.change(|store| store.remove(&key));
    }

    fn leases_of(&self, name: &str) -> Vec<i64> {
        let held = |state: &mut State| {
            let leases = state.leases.iter();
            let held = leases.filter(|(_, (holder, _))| *holder == *name);
            held.map(|(lease, _)| *lease).collect()
        };
        self.change(held)
    }
}

/// A node's path to the key-value service.
#[derive(Debug)]
pub struct Path {
    node: String,
    links: Arc<Links>,
}

impl Path {
    pub fn new(node: &str, links: Arc<Links>) -> Self {
        Self {
            node: node.to_owned(),
            links,
        }
    }

    fn memory(&self) -> Result<&MemoryStore, Error> {
        let is_cut = |state: &mut State| state.without_store.contains(&self.node);
        if self.links.change(is_cut) {
            return Err(Error::Unreachable("cut by the test".to_owned()));
        }
        Ok(&self.links.memory)
    }
}

#[async_trait]
impl Store for Path {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.memory()?.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        self.memory()?.list(prefix).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Error> {
        let memory = self.memory()?;
        let is_late = self.links.change(|state| {
            let is_late = state.late_writers.contains(&self.node);
            if is_late {
                let at = state.now + state.late_by.unwrap_or(LATE);
                state.late.push((at, transaction.clone()));
            }
            is_late
        });
        if is_late {
            return Err(Error::NoAnswer("late in this test".to_owned()));
        }
        if !self.links.has_live_leases(&transaction) {
            return Err(Error::Refused("the lease has ended".to_owned()));
        }
        memory.commit(transaction).await
    }
}

#[async_trait]
impl Lease for Path {
    async fn grant(&self, ttl: Millis) -> Result<LeaseId, Error> {
        let lease = self.memory()?.grant(ttl).await?;
        self.links.change(|state| {
            let held = (self.node.clone(), state.now);
            state.leases.insert(lease.0, held)
        });
        Ok(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<Millis, Error> {
        let left = self.memory()?.renew(lease).await?;
        self.links.change(|state| {
            let now = state.now;
            if let Some((_, renewed)) = state.leases.get_mut(&lease.0) {
                *renewed = now;
            }
        });
        Ok(left)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.memory()?.revoke(lease).await
    }
}

#[async_trait]
impl Poll for Path {
    async fn changes(&self, query: Query<'_>) -> Result<Changes, poll::Error> {
        let changes = self.memory()?.changes(query).await;
        self.memory()?;
        changes
    }
}

/// The other nodes, as far as a node reaches them.
#[derive(Debug)]
pub struct Peers {
    node: String,
    view: Arc<View>,
    links: Arc<Links>,
}

impl Peers {
    pub fn new(node: &str, view: Arc<View>, links: Arc<Links>) -> Self {
        Self {
            node: node.to_owned(),
            view,
            links,
        }
    }

    fn vote(&self, peer: SocketAddr, owned: &[(SocketAddr, u64)]) -> Result<(), &'static str> {
        let listener = self.links.change(|state| {
            let (name, ownership) = state.listeners.get(&peer)?;
            let is_parted = state.parted.contains(&(self.node.clone(), name.clone()));
            (!is_parted).then(|| Arc::clone(ownership))
        });
        let listener = listener.ok_or("no connection")?;
        let votes = listener.votes_for(&self.node, owned);
        votes.then_some(()).ok_or("it sees other claims")
    }
}

#[async_trait]
impl Voters for Peers {
    fn others(&self) -> Option<Vec<SocketAddr>> {
        self.view.state().voters(&self.node)
    }

    async fn refusals(&self, asked: &[SocketAddr], owned: &[(SocketAddr, u64)]) -> Vec<Refusal> {
        let refusals = asked.iter().filter_map(|&peer| {
            let reason = self.vote(peer, owned).err()?.to_owned();
            Some(Refusal { peer, reason })
        });
        refusals.collect()
    }
}
