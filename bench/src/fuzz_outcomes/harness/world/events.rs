//! What arrives at nodes, and what they make of it.

use chivevalve::clock::Millis;
use chivevalve::membership::machine::{CallResult, Machine};
use chivevalve::membership::witness;
use chivevalve::name::Name;

use super::super::oracle::Promise;
use super::super::traffic::Order;
use super::{Arrival, Due, GRACE_TICKS, TICK, World};

impl World {
    pub(super) fn happen(&mut self, due: Due) {
        match due {
            Due::Node(index, start, arrival) => {
                let node = &mut self.nodes[index];
                if node.machine.is_none() || node.identity.incarnation != start {
                    return;
                }
                if node.paused {
                    node.backlog.push_back(arrival);
                } else {
                    self.arrive(index, arrival);
                }
            }
            Due::Service {
                node,
                start,
                number,
                call,
                answered,
            } => self.serve(node, start, number, &call, answered),
            Due::Gossip => self.gossip(),
            Due::Engine {
                node,
                start,
                token,
                upstream,
                order,
            } => self.engine(node, start, token, upstream, order),
            Due::Done(upstream, id, boot) => self.done(upstream, id, boot),
            Due::Gone(upstream) => self.gone(&upstream),
            Due::Resume(index) => self.resume(index),
            Due::Start(index) => self.start(index),
            Due::End(fault) => self.mend(fault),
        }
    }

    pub(super) fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        // A thread that was about to give an order gives it before anything else runs.
        self.check();
        while let Some(arrival) = self.nodes[index].backlog.pop_front() {
            self.arrive(index, arrival);
            self.check();
        }
    }

    pub(super) fn arrive(&mut self, index: usize, arrival: Arrival) {
        if self.trace.is_some() {
            self.tell_arrival(index, &arrival);
        }
        match arrival {
            Arrival::Tick => {
                self.read_list(index);
                self.on_machine(index, Machine::tick);
                self.tick_owned(index);
                let start = self.nodes[index].identity.incarnation;
                self.later(TICK, Due::Node(index, start, Arrival::Tick));
            }
            Arrival::Answer(number, answer) => {
                self.on_machine(index, |machine, now| {
                    machine.handle_result(now, number, answer);
                });
            }
            Arrival::Seen(event) => {
                self.on_machine(index, |machine, now| machine.apply_watch_event(now, &event));
            }
            Arrival::Asked {
                from,
                start,
                number,
                ask,
            } => self.asked(index, from, start, number, &ask),
            Arrival::News(claims, records) => {
                self.on_machine(index, |machine, now| {
                    for claim in claims {
                        machine.merge_from_peer(now, |table| table.merge_claim(claim));
                    }
                    for record in records {
                        machine.merge_from_peer(now, |table| table.merge_record(record));
                    }
                });
            }
            Arrival::Attempt(route, upstream) => self.attempt(index, route, &upstream),
            Arrival::Result(number, attempt, result) => self.result(number, attempt, result),
            Arrival::Retry(number) => self.try_at(number),
            Arrival::Deadline(number) => self.deadline(number),
            Arrival::Ran(upstream, id, outcome) => self.ran(index, &upstream, &id, outcome),
            Arrival::Granted(upstream, adapter) => self.granted(index, &upstream, adapter),
            Arrival::Loaded(upstream, adapter, ok) => self.loaded(index, &upstream, adapter, ok),
            Arrival::Reported(upstream, report) => self.reported(index, &upstream, &report),
            Arrival::Released(number, upstream, token) => {
                let served = &mut self.nodes[index].served;
                if served
                    .get(&upstream)
                    .is_some_and(|served| served.releasing && served.token == token)
                {
                    served.remove(&upstream);
                }
                self.on_machine(index, |machine, now| {
                    machine.handle_result(now, number, CallResult::Released);
                });
            }
        }
    }

    pub(super) fn tell_arrival(&mut self, index: usize, arrival: &Arrival) {
        match arrival {
            Arrival::Answer(
                number,
                answer @ (CallResult::Vote(_) | CallResult::Committed(_) | CallResult::Renewed(_)),
            ) => {
                self.tell(|| format!("n{index} call {number}: {answer:?}"));
            }
            Arrival::Asked { from, ask, .. } => {
                self.tell(|| {
                    let node = &ask.node;
                    let what = ask.withdraw_before;
                    format!(
                        "n{index} asked by n{from} about {node}/{} registered {}: {what:?}",
                        ask.incarnation, ask.registration
                    )
                });
            }
            _ => {}
        }
    }

    pub(super) fn asked(
        &mut self,
        index: usize,
        from: usize,
        start: u64,
        number: u64,
        ask: &witness::VoteRequest,
    ) {
        let now = self.nodes[index].clock(self.now);
        let reached = self.service_reachable(index);
        let Some(machine) = &mut self.nodes[index].machine else {
            return;
        };
        let mut vote = machine.vote(now, ask);
        if ask.withdraw_before.is_none() && reached {
            let span = self.service.renew(Millis(self.now), ask.lease);
            vote.renewed = span > Millis::ZERO;
        }
        if self.connected(index, from) && !self.lost() {
            let delay = self.slow_delay();
            let answer = Arrival::Answer(number, CallResult::Vote(Some(vote)));
            self.later(delay, Due::Node(from, start, answer));
        }
    }

    pub(super) fn on_machine(&mut self, index: usize, step: impl FnOnce(&mut Machine, Millis)) {
        let now = self.nodes[index].clock(self.now);
        let Some(machine) = &mut self.nodes[index].machine else {
            return;
        };
        step(machine, now);
        let actions = machine.take_actions();
        let drained = machine.is_drained();
        for action in actions {
            self.carry_out(index, action);
        }
        if drained {
            self.stopped(index);
        }
    }

    // A node that handed everything over ends when its callers are served and what it
    // runs for others has finished.
    pub(super) fn stopped(&mut self, index: usize) {
        if self.serves_callers(index) || !self.nodes[index].routes.is_empty() {
            self.nodes[index].left_over += 1;
            let long = self.nodes[index].left_over > GRACE_TICKS;
            if long && !self.nodes[index].stalled {
                self.broken(Promise::Graceful, format!("n{index} never finishes"));
            }
            return;
        }
        self.kill(index);
    }

    // What the owner of each upstream does now and then.
    pub(super) fn tick_owned(&mut self, index: usize) {
        let upstreams: Vec<Name> = self.nodes[index].served.keys().cloned().collect();
        let report = (self.now / TICK).is_multiple_of(5);
        for upstream in upstreams {
            self.decide(
                index,
                &upstream,
                chivevalve::policy::upstream::Machine::tick,
            );
            if report {
                self.order(index, &upstream, Order::Report);
            }
            self.finish_release(index, &upstream);
        }
    }

    pub(super) fn finish_release(&mut self, index: usize, upstream: &Name) {
        let now = self.nodes[index].clock(self.now);
        let Some(served) = self.nodes[index].served.get_mut(upstream) else {
            return;
        };
        let Some((number, limit)) = served.release else {
            return;
        };
        if !served.owned.is_idle() && now < limit {
            return;
        }
        served.release = None;
        let token = served.token;
        let start = self.nodes[index].identity.incarnation;
        let released = Arrival::Released(number, upstream.clone(), token);
        self.later(0, Due::Node(index, start, released));
    }
}
