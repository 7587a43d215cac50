//! The decisions of one owned upstream: what starts, loads, is evicted, refused.
//!
//! The owner feeds events in and carries the returned [`Action`]s out. The
//! machine counts its own running requests and pins exactly; an upstream's
//! reports lag and only correct drift. See docs/design/0002-decisions.md.

use std::collections::{BTreeMap, VecDeque};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::request::{Class, Id, Ticket};
use crate::runner::Share;

/// What an upstream can hold, and what its callers were promised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Adapters that fit at a time; none for a plain service.
    pub slots: Option<u32>,
    /// Most requests running at a time, at least 1.
    pub batch: u32,
    /// Most requests waiting, all classes together.
    pub queue: u32,
    /// 0 spends nothing for fuller batches, 100 spends nothing against load stalls.
    pub batch_weight: u32,
    /// How long one load takes when the weight store is free.
    pub load_time: Millis,
    /// Target for the time to the first token.
    pub first_token: Millis,
    /// Target for the time between tokens.
    pub between_tokens: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: Some(8),
            batch: 32,
            queue: 512,
            batch_weight: 0,
            load_time: Millis(300),
            first_token: Millis(890),
            between_tokens: Millis(54),
        }
    }
}

/// What the weight store's queue needs to know to order a load.
///
/// The same fields as [`crate::loads::Ask`], but for the names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Class of the most urgent waiter; none is a prefetch.
    pub class: Option<Class>,
    /// How many requests wait for it.
    pub waiters: u32,
    /// Sum of the waiters' weights.
    pub weight: u32,
    /// How long the oldest waiter has waited.
    pub waited: Millis,
    /// Time that the waiters have left before their deadlines, summed, each times its class's factor.
    pub gain: Millis,
}

/// An order to the owner of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Run this waiting request now; its adapter is resident and stays pinned
    /// until [`Machine::finished`].
    Start {
        /// Which request.
        id: Id,
        /// How long it waited here, the load included.
        queued: Millis,
        /// How long it waited for its adapter to be loaded: its stall.
        load_wait: Millis,
    },
    /// End this waiting request; it was not run.
    Refuse {
        /// Which request.
        id: Id,
        /// Why, with a code whose fate is not run.
        failure: Failure,
    },
    /// Ask the weight store's queue for leave to load, or replace an earlier ask's demand.
    Ask {
        /// What would be loaded.
        adapter: Adapter,
        /// How the queue should order it.
        demand: Demand,
    },
    /// Take an ask back; if leave has been granted meanwhile, give it back unused.
    Withdraw {
        /// What is no longer needed.
        adapter: Adapter,
    },
    /// Load an adapter under the leave just granted, after unloading another.
    ///
    /// The owner answers with [`Machine::loaded`].
    Load {
        /// What to load.
        adapter: Adapter,
        /// What to unload first; no running request uses it, and none will start on it.
        evict: Option<Adapter>,
    },
}

/// What an owner shows to operators of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Status {
    /// Requests running.
    pub running: u32,
    /// Requests waiting, by class.
    pub waiting: [u32; 3],
    /// Adapters in slots with their pins.
    pub resident: Vec<(Adapter, u32)>,
    /// Adapters being loaded.
    pub loading: Vec<Adapter>,
    /// Adapters that are asked for.
    pub asked: Vec<Adapter>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    arrived: Millis,
}

/// The state machine of one upstream.
///
/// Every input returns the orders that follow from it, to be carried out in order.
#[derive(Debug)]
pub struct Machine {
    limits: Limits,
    waiting: VecDeque<Waiting>,
    running: BTreeMap<Id, Option<Adapter>>,
    resident: Vec<Adapter>,
    loading: Option<Adapter>,
    asked: Vec<Adapter>,
    leaving: bool,
}

impl Machine {
    /// Starts with nothing resident, nothing waiting and nothing running.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            resident: Vec::new(),
            loading: None,
            asked: Vec::new(),
            leaving: false,
        }
    }

    /// Takes over changed limits; what runs and what is resident stays.
    #[must_use]
    pub fn limit(&mut self, limits: Limits, now: Millis) -> Vec<Action> {
        self.limits = limits;
        self.tick(now)
    }

    /// A request arrives. It is started, kept waiting, or refused.
    ///
    /// `last` is [`crate::runner::Attempt::last`].
    #[must_use]
    pub fn arrive(&mut self, ticket: Ticket, share: Share, last: bool, now: Millis) -> Vec<Action> {
        let _ = (share, last);
        if self.leaving {
            let failure = Failure::new(Code::UpstreamLeaving, "the upstream takes no new work");
            return vec![Action::Refuse {
                id: ticket.id,
                failure,
            }];
        }
        self.waiting.push_back(Waiting {
            ticket,
            arrived: now,
        });
        self.tick(now)
    }

    /// The weight store's queue grants the ask for this adapter.
    ///
    /// The answer holds [`Action::Load`], or [`Action::Withdraw`] when the load is no longer wanted.
    #[must_use]
    pub fn granted(&mut self, adapter: &Adapter, now: Millis) -> Vec<Action> {
        let _ = now;
        self.asked.retain(|asked| asked != adapter);
        let slots = self.limits.slots.unwrap_or(0) as usize;
        let mut evict = None;
        if self.resident.len() >= slots {
            let running = &self.running;
            let free = self
                .resident
                .iter()
                .position(|resident| !running.values().any(|used| used.as_ref() == Some(resident)));
            let Some(free) = free else {
                return vec![Action::Withdraw {
                    adapter: adapter.clone(),
                }];
            };
            evict = Some(self.resident.remove(free));
        }
        self.loading = Some(adapter.clone());
        vec![Action::Load {
            adapter: adapter.clone(),
            evict,
        }]
    }

    /// A load that [`Action::Load`] ordered has ended.
    #[must_use]
    pub fn loaded(&mut self, adapter: &Adapter, ok: bool, now: Millis) -> Vec<Action> {
        self.loading = None;
        if ok {
            self.resident.push(adapter.clone());
        }
        self.tick(now)
    }

    /// A running request has ended, however it ended; its pin is given back.
    ///
    /// An unknown id changes nothing, so that telling it twice does no harm.
    #[must_use]
    pub fn finished(&mut self, id: &Id, now: Millis) -> Vec<Action> {
        self.running.remove(id);
        self.tick(now)
    }

    /// The caller of a request that still waits has gone away. It gets no answer.
    #[must_use]
    pub fn cancelled(&mut self, id: &Id, now: Millis) -> Vec<Action> {
        self.waiting.retain(|waiting| &waiting.ticket.id != id);
        self.tick(now)
    }

    /// The engine process has started anew: no slot holds anything.
    ///
    /// The owner still tells of each running request's end by [`Machine::finished`].
    #[must_use]
    pub fn restarted(&mut self, now: Millis) -> Vec<Action> {
        self.resident.clear();
        self.tick(now)
    }

    /// The engine says what its slots hold; it lags, so only what the machine
    /// hasn't touched meanwhile is corrected.
    #[must_use]
    pub fn reported(&mut self, resident: &[Adapter], as_of: Millis, now: Millis) -> Vec<Action> {
        let _ = (resident, as_of);
        self.tick(now)
    }

    /// The upstream leaves: what waits is refused, what runs goes on.
    #[must_use]
    pub fn leave(&mut self, code: Code, now: Millis) -> Vec<Action> {
        let _ = now;
        self.leaving = true;
        self.waiting
            .drain(..)
            .map(|waiting| Action::Refuse {
                id: waiting.ticket.id,
                failure: Failure::new(code, "the upstream takes no new work"),
            })
            .collect()
    }

    /// Time has passed. The owner calls it at [`Machine::next_wakeup`] at the latest.
    #[must_use]
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut kept = VecDeque::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let adapter = waiting.ticket.adapter.clone();
            if waiting.ticket.deadline <= now {
                actions.push(Action::Refuse {
                    id: waiting.ticket.id,
                    failure: Failure::new(Code::ExpiredWaiting, "the deadline passed"),
                });
                continue;
            }
            let here = adapter
                .as_ref()
                .is_none_or(|adapter| self.resident.contains(adapter));
            if here && self.running.len() < self.limits.batch as usize {
                let queued = now.since(waiting.arrived);
                self.running.insert(waiting.ticket.id.clone(), adapter);
                actions.push(Action::Start {
                    id: waiting.ticket.id,
                    queued,
                    load_wait: queued,
                });
                continue;
            }
            if let Some(adapter) = adapter.filter(|_| !here)
                && self.loading.as_ref() != Some(&adapter)
                && !self.asked.contains(&adapter)
            {
                self.asked.push(adapter.clone());
                let left = waiting.ticket.deadline.since(now);
                actions.push(Action::Ask {
                    adapter,
                    demand: Demand {
                        class: Some(waiting.ticket.class),
                        waiters: 1,
                        weight: waiting.ticket.weight,
                        waited: now.since(waiting.arrived),
                        gain: left,
                    },
                });
            }
            kept.push_back(waiting);
        }
        self.waiting = kept;
        actions
    }

    /// Returns when [`Machine::tick`] has something to do next, if nothing else happens.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        self.waiting
            .iter()
            .map(|waiting| waiting.ticket.deadline)
            .min()
    }

    /// Returns whether nothing waits and nothing runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns what operators see.
    #[must_use]
    pub fn status(&self) -> Status {
        let mut waiting = [0; 3];
        for entry in &self.waiting {
            waiting[entry.ticket.class as usize] += 1;
        }
        let pins = |adapter: &Adapter| {
            let uses = self
                .running
                .values()
                .filter(|used| used.as_ref() == Some(adapter));
            u32::try_from(uses.count()).unwrap_or(u32::MAX)
        };
        Status {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting,
            resident: self
                .resident
                .iter()
                .map(|adapter| (adapter.clone(), pins(adapter)))
                .collect(),
            loading: self.loading.iter().cloned().collect(),
            asked: self.asked.clone(),
        }
    }
}
