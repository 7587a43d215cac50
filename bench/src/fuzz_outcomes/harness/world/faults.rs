//! Faults of a story: what breaks, what mends, who comes and goes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use chivevalve::clock::Millis;
use chivevalve::membership::Limits;
use chivevalve::membership::machine::Machine;
use chivevalve::membership::upstreams::Upstreams;
use chivevalve::name::Name;
use chivevalve::ports::Vm;
use chivevalve::retry::RetryBudget;
use rand::RngExt;

use super::super::oracle::{Promise, Violation};
use super::super::story::Step;
use super::{Arrival, Due, Fault, PREFIX, World};

impl World {
    pub(super) fn node_of(&self, index: u8) -> usize {
        usize::from(index) % self.nodes.len()
    }

    pub(super) fn take(&mut self, step: Step) {
        self.tell(|| format!("-- {step:?}"));
        match step {
            Step::Wait(span) => self.later(u64::from(span), Due::End(Fault::Late)),
            Step::Pause(node, span) => {
                let node = self.node_of(node);
                if !self.nodes[node].paused && self.nodes[node].machine.is_some() {
                    self.nodes[node].paused = true;
                    self.nodes[node].stalled = true;
                    self.later(u64::from(span), Due::Resume(node));
                }
            }
            Step::Kill(node, span) => {
                let node = self.node_of(node);
                self.kill(node);
                self.later(u64::from(span), Due::Start(node));
            }
            Step::Drain(node, span) => {
                let node = self.node_of(node);
                self.drain(node);
                self.later(20_000 + u64::from(span), Due::Start(node));
            }
            Step::Upstream(index) => self.change_upstream(index),
            Step::Leave(index) => self.leave(index),
            Step::Engine(index) => {
                let upstream = Name::from(format!("u{index}"));
                self.restart_engine(&upstream);
            }
            Step::Request(node, what) => {
                let node = self.node_of(node);
                for _ in 0..=(what >> 5) {
                    self.request(node, what);
                }
            }
            _ => self.break_something(step),
        }
    }

    pub(super) fn break_something(&mut self, step: Step) {
        let (fault, span) = match step {
            Step::ServiceDown(span) => {
                self.faults.down += 1;
                (Fault::ServiceDown, span)
            }
            Step::ServiceCut(node, span) => {
                let node = self.node_of(node);
                self.nodes[node].cut += 1;
                (Fault::ServiceCut(node), span)
            }
            Step::Split(mask, span) => {
                self.faults.split = Some(mask);
                (Fault::Split, span)
            }
            Step::ServiceSplit(mask, span) => {
                self.faults.service_split = Some(mask);
                (Fault::ServiceSplit, span)
            }
            Step::Loss(percent, span) => {
                self.faults.loss = percent;
                (Fault::Loss, span)
            }
            Step::Late(percent, span) => {
                self.faults.late = percent;
                (Fault::Late, span)
            }
            Step::Stale(span) => {
                self.faults.stale += 1;
                (Fault::Stale, span)
            }
            Step::BadList(part, span) => {
                self.faults.bad_list = Some(part);
                (Fault::BadList, span)
            }
            _ => return,
        };
        self.later(u64::from(span), Due::End(fault));
    }

    pub(super) fn mend(&mut self, fault: Fault) {
        let faults = &mut self.faults;
        match fault {
            Fault::ServiceDown => faults.down = faults.down.saturating_sub(1),
            Fault::ServiceCut(node) => {
                let cut = &mut self.nodes[node].cut;
                *cut = cut.saturating_sub(1);
            }
            Fault::Split => faults.split = None,
            Fault::ServiceSplit => faults.service_split = None,
            Fault::Loss => faults.loss = 0,
            Fault::Late => faults.late = 0,
            Fault::BadList => faults.bad_list = None,
            Fault::Stale => faults.stale = faults.stale.saturating_sub(1),
        }
    }

    pub(super) fn change_upstream(&mut self, index: u8) {
        let name = Name::from(format!("u{index}"));
        if self.regions.len() > 1 && self.regions.remove(&name).is_some() {
            self.leaving.remove(&name);
            self.unlisted.push(self.now);
            return;
        }
        let at = usize::from(index) % self.nodes.len();
        let region = self.nodes[at].identity.region.clone();
        self.regions.insert(name, region);
    }

    pub(super) fn leave(&mut self, index: u8) {
        let name = Name::from(format!("u{index}"));
        if self.regions.len() > 1 && self.regions.contains_key(&name) {
            let now = self.now;
            self.leaving.entry(name.clone()).or_insert(now);
            self.later(9000, Due::Gone(name));
        }
    }

    pub(super) fn gone(&mut self, name: &Name) {
        if self.regions.len() > 1 && self.leaving.remove(name).is_some() {
            self.regions.remove(name);
        }
        self.unlisted.push(self.now);
    }

    // A node reads the list of VMs once a second and tells its machine.
    pub(super) fn read_list(&mut self, index: usize) {
        if self.now < self.nodes[index].listed + 1000 {
            return;
        }
        self.nodes[index].listed = self.now;
        let bad = self.faults.bad_list;
        if bad.is_some() {
            self.list_bad = self.now;
        }
        let vms: Vec<Vm> = self
            .regions
            .iter()
            .enumerate()
            .filter(|(at, _)| bad.is_none_or(|part| part > 0 && at % 4 == usize::from(part)))
            .map(|(_, (name, region))| self.vm(name, region))
            .collect();
        let cut_short = vms.len() + 1 < self.regions.len() && vms.len() * 3 < self.regions.len();
        let now = self.nodes[index].clock(self.now);
        let node = &mut self.nodes[index];
        let usable = |upstreams: &Upstreams| {
            let all = upstreams.all(now);
            all.iter().filter(|upstream| !upstream.vm.leaving).count()
        };
        let before = usable(&node.upstreams);
        node.upstreams.apply_list(now, vms);
        let left = usable(&node.upstreams);
        let after = node.upstreams.all(now);
        let accepted = bad.is_some() && cut_short && before > 2 && left * 3 < before;
        let regions: BTreeMap<Name, Name> = after
            .into_iter()
            .map(|upstream| (upstream.vm.name, upstream.vm.region))
            .collect();
        self.on_machine(index, |machine, now| machine.set_upstreams(now, regions));
        if accepted {
            self.broken(Promise::Panic, format!("n{index} accepts a list cut short"));
        }
    }

    pub(super) fn vm(&self, name: &Name, region: &Name) -> Vm {
        Vm {
            name: name.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            pool: Name::from("p"),
            region: region.clone(),
            failure_domain: Name::from("d"),
            leaving: self.leaving.contains_key(name),
        }
    }

    pub fn broken(&mut self, promise: Promise, detail: String) {
        let at = self.now;
        self.violation.get_or_insert(Violation {
            promise,
            at,
            detail,
        });
    }

    pub(super) fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.machine = None;
        node.paused = false;
        node.backlog.clear();
        node.served.clear();
        self.break_connections(index);
    }

    pub(super) fn start(&mut self, index: usize) {
        if self.nodes[index].machine.is_some() {
            return;
        }
        self.starts += 1;
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.identity.incarnation = self.starts;
        node.paused = false;
        node.backlog.clear();
        node.served.clear();
        node.routes.clear();
        node.stalled = false;
        node.left_over = 0;
        node.upstreams = Upstreams::new(self.guards);
        node.listed = 0;
        let now = node.clock(self.now);
        node.budget = RetryBudget::new(20, now);
        let limits = Limits {
            max_watchers: 2,
            stable_before_rebalance: Millis(4000),
            rebalance_interval: Millis(2000),
            release_timeout: Millis(4000),
            ..Limits::default()
        };
        let identity = node.identity.clone();
        let machine = Machine::with_guards(identity, limits, PREFIX, seed, now, self.guards);
        node.machine = Some(machine);
        let start = self.starts;
        self.later(0, Due::Node(index, start, Arrival::Tick));
    }

    pub(super) fn drain(&mut self, index: usize) {
        if !self.nodes[index].paused {
            self.on_machine(index, |machine, now| machine.drain(now, Millis(15_000)));
        }
    }
}
