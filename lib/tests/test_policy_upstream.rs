//! Property tests of an upstream's state machine against an oracle, under random events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use chivevalve::adapter::Adapter;
use chivevalve::clock::Millis;
use chivevalve::error::{Code, Fate};
use chivevalve::policy::upstream::{Action, Limits, Machine};
use chivevalve::request::{Class, Id, Ticket};
use chivevalve::runner::Share;
use quickcheck::{Arbitrary, Gen};

/// Number of random sequences per property.
const RUNS: u64 = 400;
/// Number of events per sequence.
const EVENTS: usize = 300;

#[derive(Debug, Clone)]
enum Event {
    Arrive {
        adapter: u8,
        account: u8,
        class: u32,
        weight: u32,
        time_left: u64,
        last: bool,
    },
    Grant(u8),
    LoadEnd(u8, bool),
    Finish(u8),
    FinishTwice(u8),
    Cancel(u8),
    Restart,
    Report(bool),
    Wait(u64),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 24 {
            0..=8 => Self::Arrive {
                adapter: byte % 9,
                account: u8::arbitrary(g) % 3,
                class: u32::from(u8::arbitrary(g) % 3),
                weight: 1 + u32::from(u8::arbitrary(g) % 3),
                time_left: 50 + u64::from(u16::arbitrary(g) % 8_000),
                last: bool::arbitrary(g),
            },
            9..=12 => Self::Grant(byte),
            13..=15 => Self::LoadEnd(byte, !u8::arbitrary(g).is_multiple_of(5)),
            16..=18 => Self::Finish(byte),
            19 => Self::FinishTwice(byte),
            20 => Self::Cancel(byte),
            21 if byte < 40 => Self::Restart,
            21 => Self::Report(byte.is_multiple_of(2)),
            _ => Self::Wait(1 + u64::from(byte) * 4),
        }
    }
}

fn adapter(number: u8) -> Adapter {
    Adapter {
        base_model: Arc::from("base"),
        name: Arc::from(format!("a{number}")),
        version: Arc::from("1"),
    }
}

fn share() -> Share {
    Share {
        weight: 1,
        max_in_flight: 0,
        max_queued: 0,
    }
}

/// The expected state of each request and adapter, derived only from events and actions.
#[derive(Debug)]
struct Oracle {
    limits: Limits,
    machine: Machine,
    now: Millis,
    arrivals: u32,
    waiting: BTreeMap<Id, Ticket>,
    /// Adapter of each running request, and the engine start that it runs in.
    running: BTreeMap<Id, (Option<Adapter>, u32)>,
    resident: BTreeSet<Adapter>,
    loading: BTreeSet<Adapter>,
    requested: BTreeSet<Adapter>,
    engine_start: u32,
    started: u32,
    refused: u32,
    cancelled: u32,
}

impl Oracle {
    fn new(limits: Limits) -> Self {
        Self {
            machine: Machine::new(limits.clone()),
            limits,
            now: Millis(1_000),
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            resident: BTreeSet::new(),
            loading: BTreeSet::new(),
            requested: BTreeSet::new(),
            engine_start: 0,
            started: 0,
            refused: 0,
            cancelled: 0,
        }
    }

    fn ticket(&mut self, event: &Event) -> (Ticket, bool) {
        let &Event::Arrive {
            adapter: number,
            account,
            class,
            weight,
            time_left,
            last,
        } = event
        else {
            panic!("not an arrival: {event:?}");
        };
        self.arrivals += 1;
        let ticket = Ticket {
            id: Id(Arc::from(format!("r{}", self.arrivals))),
            account: Arc::from(format!("account{account}")),
            template: Arc::from("t"),
            pool: Arc::from("p"),
            adapter: self.limits.slots.map(|_| adapter(number)),
            class: Class::from_index(class),
            weight,
            idempotent: true,
            deadline: self.now + Millis(time_left),
            prompt_tokens: 10,
            max_output_tokens: 20,
            revision: 1,
        };
        (ticket, last)
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Arrive { .. } => {
                let (ticket, last) = self.ticket(event);
                self.waiting.insert(ticket.id.clone(), ticket.clone());
                let actions = self.machine.arrive(ticket, share(), last, self.now);
                self.apply_actions(actions);
            }
            Event::Grant(nth) => self.grant(*nth),
            Event::LoadEnd(nth, ok) => self.end_load(*nth, *ok),
            Event::Finish(nth) => self.finish(*nth, 1),
            Event::FinishTwice(nth) => self.finish(*nth, 2),
            Event::Cancel(nth) => {
                if let Some(id) = nth_item(self.waiting.keys(), *nth) {
                    self.waiting.remove(&id);
                    self.cancelled += 1;
                    let actions = self.machine.cancelled(&id, self.now);
                    self.apply_actions(actions);
                }
            }
            Event::Restart => {
                self.engine_start += 1;
                self.resident.clear();
                self.loading.clear();
                let actions = self.machine.engine_restarted(self.now);
                self.apply_actions(actions);
            }
            Event::Report(stale) => {
                // A stale report doesn't include recent changes; it must have no effect.
                let listed: Vec<_> = self.resident.iter().cloned().collect();
                let (listed, as_of) = if *stale {
                    (Vec::new(), Millis::ZERO)
                } else {
                    (listed, self.now)
                };
                let actions = self.machine.engine_reported(&listed, as_of, self.now);
                self.apply_actions(actions);
            }
            Event::Wait(span) => {
                let until = self.now + Millis(*span);
                self.wait(until);
            }
        }
        self.check();
    }

    /// Advances time, waking the machine only when it asks for it.
    fn wait(&mut self, until: Millis) {
        while let Some(wakeup) = self.machine.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(wakeup);
            let actions = self.machine.tick(self.now);
            self.apply_actions(actions);
            assert!(
                self.machine.next_wakeup().is_none_or(|at| at > self.now),
                "the next wakeup must be in the future"
            );
        }
        self.now = until;
        let actions = self.machine.tick(self.now);
        self.apply_actions(actions);
    }

    fn grant(&mut self, nth: u8) {
        if let Some(adapter) = nth_item(self.requested.iter(), nth) {
            self.requested.remove(&adapter);
            let actions = self.machine.granted(&adapter, self.now);
            let used = actions.iter().any(|action| match action {
                Action::Load { adapter: used, .. } | Action::CancelPermit { adapter: used } => {
                    *used == adapter
                }
                _ => false,
            });
            assert!(used, "the permit is neither used nor returned");
            self.apply_actions(actions);
        }
    }

    fn end_load(&mut self, nth: u8, ok: bool) {
        if let Some(adapter) = nth_item(self.loading.iter(), nth) {
            self.loading.remove(&adapter);
            if ok {
                self.resident.insert(adapter.clone());
            }
            let actions = self.machine.loaded(&adapter, ok, self.now);
            self.apply_actions(actions);
        }
    }

    fn finish(&mut self, nth: u8, times: u32) {
        if let Some(id) = nth_item(self.running.keys(), nth) {
            self.running.remove(&id);
            for _ in 0..times {
                let actions = self.machine.finished(&id, self.now);
                self.apply_actions(actions);
            }
        }
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start { id, .. } => self.start(&id),
                Action::Refuse { id, failure } => {
                    assert_eq!(failure.fate(), Fate::NotRun);
                    assert!(self.waiting.remove(&id).is_some(), "{id} refused twice");
                    self.refused += 1;
                }
                Action::RequestPermit { adapter, .. } => {
                    assert!(!self.resident.contains(&adapter), "{adapter} is resident");
                    assert!(!self.loading.contains(&adapter), "{adapter} is loading");
                    self.requested.insert(adapter);
                }
                Action::CancelPermit { adapter } => {
                    self.requested.remove(&adapter);
                }
                Action::Load { adapter, evict } => self.load(adapter, evict),
            }
        }
    }

    fn start(&mut self, id: &Id) {
        let ticket = self.waiting.remove(id).expect("a waiting request starts");
        if let Some(adapter) = &ticket.adapter {
            assert!(self.resident.contains(adapter), "{adapter} isn't resident");
        }
        assert!(self.now < ticket.deadline, "{id} starts after its deadline");
        self.running
            .insert(id.clone(), (ticket.adapter, self.engine_start));
        assert!(self.running.len() <= self.limits.max_batch as usize);
        self.started += 1;
    }

    fn load(&mut self, adapter: Adapter, evict: Option<Adapter>) {
        if let Some(victim) = evict {
            let used = self.running.values().any(|(used, engine_start)| {
                used.as_ref() == Some(&victim) && *engine_start == self.engine_start
            });
            assert!(!used, "{victim} is in use and evicted");
            assert!(self.resident.remove(&victim), "{victim} isn't resident");
        }
        assert!(self.loading.insert(adapter), "loaded twice");
        let filled = self.resident.len() + self.loading.len();
        assert!(filled <= self.limits.slots.unwrap_or(0) as usize);
    }

    fn check(&self) {
        let status = self.machine.status();
        let waiting: u32 = status.waiting.iter().sum();
        assert_eq!(
            waiting as usize,
            self.waiting.len(),
            "requests lost or duplicated"
        );
        assert_eq!(status.running as usize, self.running.len());
        assert_eq!(
            status.asked.iter().collect::<BTreeSet<_>>(),
            self.requested.iter().collect::<BTreeSet<_>>()
        );
        let resident: BTreeSet<_> = status.resident.into_iter().map(|(name, _)| name).collect();
        assert_eq!(resident, self.resident);
        for ticket in self.waiting.values() {
            assert!(self.now < ticket.deadline, "{} waits too long", ticket.id);
            let woken = self.machine.next_wakeup();
            assert!(woken.is_some_and(|at| at <= ticket.deadline));
        }
    }

    /// Continues until no request waits or runs, and checks that every request has ended.
    fn settle(&mut self) {
        for _ in 0..2_000 {
            if self.machine.is_idle() {
                break;
            }
            self.grant(0);
            self.end_load(0, true);
            self.finish(0, 1);
            self.wait(self.now + Millis(20));
            self.check();
        }
        assert!(self.waiting.is_empty() && self.running.is_empty());
        assert_eq!(self.started + self.refused + self.cancelled, self.arrivals);
    }
}

fn nth_item<'a, T: Clone + 'a>(items: impl Iterator<Item = &'a T>, nth: u8) -> Option<T> {
    let items: Vec<_> = items.collect();
    let index = usize::from(nth) % items.len().max(1);
    items.get(index).map(|item| (*item).clone())
}

fn limits() -> Limits {
    Limits {
        slots: Some(3),
        max_batch: 4,
        max_queued: 12,
        ..Limits::default()
    }
}

fn run(limits: &Limits) {
    for seed in 0..RUNS {
        let mut g = Gen::from_size_and_seed(EVENTS, seed);
        let mut oracle = Oracle::new(limits.clone());
        for _ in 0..EVENTS {
            oracle.apply(&Event::arbitrary(&mut g));
        }
        oracle.settle();
    }
}

#[test]
fn machine_random_events() {
    run(&limits());
}

#[test]
fn machine_random_events_one_slot() {
    run(&Limits {
        slots: Some(1),
        ..limits()
    });
}

#[test]
fn machine_random_events_held_batches() {
    run(&Limits {
        batch_weight: 100,
        max_batch: 8,
        ..limits()
    });
}

#[test]
fn machine_random_events_plain_service() {
    run(&Limits {
        slots: None,
        ..limits()
    });
}

#[test]
fn machine_close_refuses_all() {
    let mut oracle = Oracle::new(limits());
    let mut g = Gen::from_size_and_seed(EVENTS, 7);
    for _ in 0..EVENTS {
        oracle.apply(&Event::arbitrary(&mut g));
    }
    let actions = oracle.machine.close(Code::UpstreamLeaving);
    oracle.apply_actions(actions);
    assert!(oracle.waiting.is_empty());
    assert!(oracle.requested.is_empty());
    let running = oracle.running.len();
    oracle.apply(&Event::Arrive {
        adapter: 0,
        account: 0,
        class: 0,
        weight: 1,
        time_left: 1_000,
        last: true,
    });
    assert_eq!(oracle.running.len(), running);
}
