//! Requests that wait at one upstream.
//!
//! A request is blocked while its adapter isn't resident, and ready after that.
//! Ready requests go by class; within a class client accounts share by weighted
//! fair queueing (start-time fair queueing), so that one account's burst delays
//! its own requests and not another's; within an account the template's weight
//! decides, then age. See docs/design/0002-decisions.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::name::Name;
use crate::request::{Class, Id, Ticket};
use crate::runner::Share;

/// Cost of a request beside its tokens, so that empty ones aren't free.
const FIXED_COST: u64 = 16;
/// A prompt token costs an engine about an eighth of an output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 8;
/// Virtual time of one unit of cost for weight 1.
const VIRTUAL_TIME_SCALE: u64 = 1 << 16;
/// Flows without requests that are kept for their tags before they are swept.
const MAX_IDLE_FLOWS: usize = 128;

/// A request that waits.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// What is known of it.
    pub ticket: Ticket,
    /// Its account's limits.
    pub share: Share,
    /// When it arrived here.
    pub arrived_at: Millis,
    /// How long it waited for its adapter's load.
    pub load_wait: Millis,
    ready: bool,
}

impl QueuedRequest {
    /// Makes the entry of a request that arrives now.
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

    /// Returns what the request costs an engine, in output tokens.
    #[must_use]
    pub fn cost(&self) -> u64 {
        cost(&self.ticket)
    }
}

/// Returns what a request costs an engine, in output tokens.
#[must_use]
pub fn cost(ticket: &Ticket) -> u64 {
    FIXED_COST
        + u64::from(ticket.max_output_tokens)
        + u64::from(ticket.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT_TOKEN
}

/// Ready requests of one account in one class, a flow of start-time fair queueing.
#[derive(Debug, Default)]
struct Flow {
    ready: BTreeSet<(Reverse<u32>, u64)>,
    finish_tag: u64,
}

/// Ready requests of one class, shared out among accounts.
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
    /// How many ready requests each adapter has.
    ready_of: HashMap<Adapter, u32>,
    classes: [FairQueue; 3],
    accounts: HashMap<Name, u32>,
    by_class: [u32; 3],
    next_number: u64,
}

impl RequestQueue {
    /// Starts empty.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request with this id waits.
    #[must_use]
    pub fn contains(&self, id: &Id) -> bool {
        self.ids.contains_key(id)
    }

    /// Returns how many requests of each class wait.
    #[must_use]
    pub fn by_class(&self) -> [u32; 3] {
        self.by_class
    }

    /// Returns how many of an account's requests wait.
    #[must_use]
    pub fn waiting_of_account(&self, account: &str) -> u32 {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Returns how many requests of a class are ready.
    #[must_use]
    pub fn ready_count(&self, class: Class) -> usize {
        self.classes[class as usize].len
    }

    /// Returns what the ready requests of this class and all more urgent ones cost.
    #[must_use]
    pub fn ready_cost(&self, class: Class) -> u64 {
        self.classes[..=class as usize]
            .iter()
            .map(|fair| fair.cost)
            .sum()
    }

    /// Puts a request in: ready, or blocked until its adapter is resident.
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

    /// Takes a request out by id.
    pub fn remove(&mut self, id: &Id) -> Option<QueuedRequest> {
        let number = *self.ids.get(id)?;
        self.remove_entry(number)
    }

    /// Takes out one request whose deadline is `now` or earlier.
    pub fn pop_expired(&mut self, now: Millis) -> Option<QueuedRequest> {
        let (deadline, number) = *self.deadlines.first()?;
        if now < deadline {
            return None;
        }
        self.remove_entry(number)
    }

    /// Returns the earliest deadline.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Makes all requests of an adapter ready: it is resident.
    pub fn unblock(&mut self, adapter: &Adapter, now: Millis) {
        for number in self.blocked.remove(adapter).unwrap_or_default() {
            if let Some(entry) = self.entries.get_mut(&number) {
                entry.load_wait = now.since(entry.arrived_at);
            }
            self.make_ready(number);
        }
    }

    /// Blocks all ready requests of an adapter: it is to go, or is gone.
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

    /// Lists the blocked requests of an adapter, the oldest first.
    pub fn blocked_on(&self, adapter: &Adapter) -> impl Iterator<Item = &QueuedRequest> {
        self.blocked
            .get(adapter)
            .into_iter()
            .flatten()
            .filter_map(|number| self.entries.get(number))
    }

    /// Returns whether requests are blocked on an adapter.
    #[must_use]
    pub fn is_blocked(&self, adapter: &Adapter) -> bool {
        self.blocked.contains_key(adapter)
    }

    /// Returns whether any ready request needs the adapter.
    #[must_use]
    pub fn has_ready(&self, adapter: &Adapter) -> bool {
        self.ready_of.contains_key(adapter)
    }

    /// Returns arrival and deadline of the longest-waiting ready request of a class.
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

    /// Takes out the request of a class that fair queueing has next.
    ///
    /// `allowed` says whether an account may start one more.
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

    /// Finds who gives way to a request of this class when the queue is full.
    ///
    /// The least urgent class gives way first (brownout: bulk, then normal), in
    /// it the account with most waiting, of it the newest of least weight.
    /// Within the arriving request's own class only an account that holds at
    /// least two more than the arriving account gives way.
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

    /// Takes out everything.
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
    /// Forgets accounts that owe nothing, so that memory follows those that wait.
    fn remove_idle_flows(&mut self) {
        if self.len == 0 {
            // Nobody waits: whatever an account was ahead of others is settled.
            self.accounts.clear();
            self.virtual_time = 0;
        } else if self.accounts.len() > MAX_IDLE_FLOWS + self.len {
            let now = self.virtual_time;
            self.accounts
                .retain(|_, flow| !flow.ready.is_empty() || flow.finish_tag > now);
        }
    }
}
