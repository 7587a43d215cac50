//! The queue of requests that wait at one upstream.
//!
//! A request is blocked until its adapter is resident, and ready afterwards. Ready requests
//! are served by class. Within a class, client accounts share capacity by weighted fair
//! queueing (start-time fair queueing), so that a burst from one account delays only its
//! own requests. Within an account, requests are ordered by template weight, then by age.
//! See docs/design/0002-decisions.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;
use crate::request::{Class, Id, Ticket};
use crate::runner::Share;

/// Fixed cost of a request on top of its tokens, so that a request without tokens has a
/// cost.
const FIXED_COST: u64 = 16;
/// Prompt tokens that cost an engine about as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 8;
/// Virtual time per unit of cost at weight 1.
const VIRTUAL_TIME_SCALE: u64 = 1 << 16;
/// Maximum number of flows without requests, beyond the number of ready requests, that are
/// kept for their finish tags.
const MAX_IDLE_FLOWS: usize = 128;

/// A waiting request.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The request's metadata.
    pub ticket: Ticket,
    /// Weight and limits of its account.
    pub share: Share,
    /// Arrival time at this upstream.
    pub arrived_at: Millis,
    /// How long the request waited for its adapter to load.
    pub load_wait: Millis,
    ready: bool,
}

impl QueuedRequest {
    /// Creates the entry of a request that arrives now.
    #[must_use]
    pub fn new(ticket: Ticket, share: Share, now: Millis) -> Self {
        Self {
            ticket,
            share,
            arrived_at: now,
            load_wait: Millis::ZERO,
            ready: false,
        }
    }

    /// Returns the cost of the request for an engine, in output tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        cost(&self.ticket)
    }
}

/// Returns the cost of a request for an engine, in output tokens.
#[must_use]
pub fn cost(ticket: &Ticket) -> u64 {
    FIXED_COST
        + u64::from(ticket.max_output_tokens)
        + u64::from(ticket.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN
}

/// The ready requests of one account in one class: a flow of start-time fair queueing.
#[derive(Debug, Default)]
struct Flow {
    ready: BTreeSet<(Reverse<u32>, u64)>,
    finish_tag: u64,
}

/// The ready requests of one class, shared fairly among accounts.
#[derive(Debug, Default)]
struct FairQueue {
    accounts: BTreeMap<Name, Flow>,
    virtual_time: u64,
    len: usize,
    cost: u64,
}

/// All requests that wait at one upstream.
#[derive(Debug, Default)]
pub struct RequestQueue {
    entries: BTreeMap<u64, QueuedRequest>,
    ids: HashMap<Id, u64>,
    deadlines: BTreeSet<(Millis, u64)>,
    blocked: HashMap<Adapter, BTreeSet<u64>>,
    /// Number of ready requests by adapter.
    ready_of: HashMap<Adapter, u32>,
    classes: [FairQueue; 3],
    accounts: HashMap<Name, u32>,
    by_class: [u32; 3],
    next_number: u64,
}

impl RequestQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether the request with this id is waiting.
    #[must_use]
    pub fn contains(&self, id: &Id) -> bool {
        self.ids.contains_key(id)
    }

    /// Returns the number of waiting requests by class.
    #[must_use]
    pub fn by_class(&self) -> [u32; 3] {
        self.by_class
    }

    /// Returns the number of waiting requests of an account.
    #[must_use]
    pub fn waiting_of_account(&self, account: &str) -> u32 {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Returns the number of ready requests of a class.
    #[must_use]
    pub fn ready_count(&self, class: Class) -> usize {
        self.classes[class as usize].len
    }

    /// Returns the total cost of the ready requests of this and all more urgent classes.
    #[must_use]
    pub fn ready_cost(&self, class: Class) -> u64 {
        self.classes[..=class as usize]
            .iter()
            .map(|fair| fair.cost)
            .sum()
    }

    /// Adds a request as ready, or as blocked until its adapter is resident.
    pub fn push(&mut self, entry: QueuedRequest, ready: bool) {
        let number = self.next_number;
        self.next_number += 1;
        self.ids.insert(entry.ticket.id.clone(), number);
        self.deadlines.insert((entry.ticket.deadline, number));
        self.by_class[entry.ticket.class as usize] += 1;
        *self
            .accounts
            .entry(entry.ticket.account.clone())
            .or_default() += 1;
        match &entry.ticket.adapter {
            Some(adapter) if !ready => {
                self.blocked
                    .entry(adapter.clone())
                    .or_default()
                    .insert(number);
                self.entries.insert(number, entry);
            }
            _ => {
                self.entries.insert(number, entry);
                self.make_ready(number);
            }
        }
    }

    /// Removes a request by id.
    pub fn remove(&mut self, id: &Id) -> Option<QueuedRequest> {
        let number = *self.ids.get(id)?;
        self.remove_entry(number)
    }

    /// Removes one request whose deadline is `now` or earlier.
    pub fn pop_expired(&mut self, now: Millis) -> Option<QueuedRequest> {
        let (deadline, number) = *self.deadlines.first()?;
        if now < deadline {
            return None;
        }
        self.remove_entry(number)
    }

    /// Returns the earliest deadline of all waiting requests.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Marks all requests for an adapter that became resident as ready.
    pub fn unblock(&mut self, adapter: &Adapter, now: Millis) {
        for number in self.blocked.remove(adapter).unwrap_or_default() {
            if let Some(entry) = self.entries.get_mut(&number) {
                entry.load_wait = now.since(entry.arrived_at);
            }
            self.make_ready(number);
        }
    }

    /// Blocks all ready requests for an adapter that is about to be evicted or is no longer
    /// resident.
    pub fn block(&mut self, adapter: &Adapter) {
        let numbers: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.ready && entry.ticket.adapter.as_ref() == Some(adapter))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.make_unready(number);
            self.blocked
                .entry(adapter.clone())
                .or_default()
                .insert(number);
        }
    }

    /// Iterates over the requests blocked on an adapter, oldest first.
    pub fn blocked_on(&self, adapter: &Adapter) -> impl Iterator<Item = &QueuedRequest> {
        self.blocked
            .get(adapter)
            .into_iter()
            .flatten()
            .filter_map(|number| self.entries.get(number))
    }

    /// Returns whether any request is blocked on the adapter.
    #[must_use]
    pub fn is_blocked(&self, adapter: &Adapter) -> bool {
        self.blocked.contains_key(adapter)
    }

    /// Returns whether any ready request needs the adapter.
    #[must_use]
    pub fn has_ready(&self, adapter: &Adapter) -> bool {
        self.ready_of.contains_key(adapter)
    }

    /// Returns arrival time and deadline of the oldest ready request of a class.
    #[must_use]
    pub fn oldest_ready(&self, class: Class) -> Option<(Millis, Millis)> {
        self.classes[class as usize]
            .accounts
            .values()
            .flat_map(|flow| &flow.ready)
            .map(|(_, number)| *number)
            .min()
            .and_then(|number| self.entries.get(&number))
            .map(|entry| (entry.arrived_at, entry.ticket.deadline))
    }

    /// Removes the next request of a class in fair-queueing order.
    ///
    /// `allowed` tells whether an account may start another request.
    pub fn pop(
        &mut self,
        class: Class,
        allowed: impl Fn(&Name, &Share) -> bool,
    ) -> Option<QueuedRequest> {
        let fair = &self.classes[class as usize];
        let (start, number) = fair
            .accounts
            .iter()
            .filter_map(|(account, flow)| {
                let (Reverse(weight), number) = flow.ready.first()?;
                let entry = self.entries.get(number)?;
                allowed(account, &entry.share).then_some(())?;
                Some((
                    flow.finish_tag.max(fair.virtual_time),
                    Reverse(*weight),
                    *number,
                ))
            })
            .min()
            .map(|(start, _, number)| (start, number))?;
        let entry = self.remove_entry(number)?;
        let fair = &mut self.classes[class as usize];
        fair.virtual_time = start;
        let weight = u64::from(entry.share.weight.max(1));
        if let Some(flow) = fair.accounts.get_mut(&entry.ticket.account) {
            flow.finish_tag = start + entry.cost() * VIRTUAL_TIME_SCALE / weight;
        }
        fair.remove_idle_flows();
        Some(entry)
    }

    /// Selects the request to shed in favor of a request of this class when the queue is
    /// full.
    ///
    /// The least urgent class is shed first (bulk, then normal); within it, the account
    /// with the most waiting requests; of that account, the newest request of the lowest
    /// weight. In the class of the arriving request, only accounts with at least two more
    /// waiting requests than the arriving account are considered.
    #[must_use]
    pub fn shed_candidate(&self, class: Class, account: &str) -> Option<Id> {
        let own = self.waiting_of_account(account);
        for lower in Class::ALL.into_iter().rev() {
            if lower < class {
                return None;
            }
            let fits = |entry: &&QueuedRequest| {
                entry.ticket.class == lower
                    && (lower > class
                        || self.waiting_of_account(&entry.ticket.account) >= own.saturating_add(2))
            };
            let found = self
                .entries
                .iter()
                .filter(|(_, entry)| fits(entry))
                .max_by_key(|(number, entry)| {
                    (
                        self.waiting_of_account(&entry.ticket.account),
                        &entry.ticket.account,
                        Reverse(entry.ticket.weight),
                        **number,
                    )
                });
            if let Some((_, entry)) = found {
                return Some(entry.ticket.id.clone());
            }
        }
        None
    }

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        let queue = std::mem::take(self);
        self.next_number = queue.next_number;
        queue.entries.into_values().collect()
    }

    fn remove_entry(&mut self, number: u64) -> Option<QueuedRequest> {
        if self.entries.get(&number)?.ready {
            self.make_unready(number);
        }
        let entry = self.entries.remove(&number)?;
        self.ids.remove(&entry.ticket.id);
        self.deadlines.remove(&(entry.ticket.deadline, number));
        self.by_class[entry.ticket.class as usize] -= 1;
        if let Some(count) = self.accounts.get_mut(&entry.ticket.account) {
            *count -= 1;
            if *count == 0 {
                self.accounts.remove(&entry.ticket.account);
            }
        }
        if let Some(adapter) = &entry.ticket.adapter
            && let Some(group) = self.blocked.get_mut(adapter)
        {
            group.remove(&number);
            if group.is_empty() {
                self.blocked.remove(adapter);
            }
        }
        Some(entry)
    }

    fn make_ready(&mut self, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        entry.ready = true;
        if let Some(adapter) = &entry.ticket.adapter {
            *self.ready_of.entry(adapter.clone()).or_default() += 1;
        }
        let fair = &mut self.classes[entry.ticket.class as usize];
        fair.len += 1;
        fair.cost += cost(&entry.ticket);
        let flow = fair
            .accounts
            .entry(entry.ticket.account.clone())
            .or_default();
        flow.ready.insert((Reverse(entry.ticket.weight), number));
    }

    fn make_unready(&mut self, number: u64) {
        let Some(entry) = self.entries.get_mut(&number) else {
            return;
        };
        entry.ready = false;
        if let Some(adapter) = &entry.ticket.adapter
            && let Some(count) = self.ready_of.get_mut(adapter)
        {
            *count -= 1;
            if *count == 0 {
                self.ready_of.remove(adapter);
            }
        }
        let fair = &mut self.classes[entry.ticket.class as usize];
        fair.len -= 1;
        fair.cost -= cost(&entry.ticket);
        if let Some(flow) = fair.accounts.get_mut(&entry.ticket.account) {
            flow.ready.remove(&(Reverse(entry.ticket.weight), number));
        }
    }
}

impl FairQueue {
    /// Removes flows that are idle and not ahead of virtual time, so that memory is bounded
    /// by the number of waiting requests.
    fn remove_idle_flows(&mut self) {
        if self.len == 0 {
            // No request waits, so no account is ahead of another one: start over.
            self.accounts.clear();
            self.virtual_time = 0;
        } else if self.accounts.len() > MAX_IDLE_FLOWS + self.len {
            let now = self.virtual_time;
            self.accounts
                .retain(|_, flow| !flow.ready.is_empty() || flow.finish_tag > now);
        }
    }
}
