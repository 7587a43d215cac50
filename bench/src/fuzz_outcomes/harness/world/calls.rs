//! Calls to the service and between nodes, and how they are lost or late.

use std::net::SocketAddr;

use chivevalve::clock::Millis;
use chivevalve::error::Code;
use chivevalve::membership::machine::{Action, Call, CallResult};
use chivevalve::membership::node::Claim;
use chivevalve::membership::{Limits, witness};
use chivevalve::name::Name;
use chivevalve::ports::Error;
use rand::RngExt;

use super::super::oracle::{Promise, Violation};
use super::super::traffic::{Order, Owned};
use super::{Arrival, Due, PREFIX, Served, World, failed};

impl World {
    pub(super) fn carry_out(&mut self, index: usize, action: Action) {
        match action {
            Action::RecordEvent(note) => {
                *self.notes.entry(note).or_default() += 1;
                self.tell(|| format!("n{index} notes {note}"));
            }
            Action::Adopt {
                upstream,
                token,
                until,
            } => {
                self.tell(|| format!("n{index} adopts {upstream} under {token}"));
                let served = Served {
                    token,
                    until,
                    releasing: false,
                    release: None,
                    owned: Owned::new(),
                };
                self.nodes[index].served.insert(upstream.clone(), served);
                self.order(index, &upstream, Order::Report);
            }
            Action::Call(number, Call::Release(upstream, limit)) => {
                self.release(index, number, upstream, limit);
            }
            Action::Call(number, Call::RequestVote(address, ask)) => {
                self.ask(index, number, address, ask);
            }
            Action::Call(number, call) => self.send(index, number, call),
        }
    }

    pub(super) fn release(&mut self, index: usize, number: u64, upstream: Name, limit: Millis) {
        let start = self.nodes[index].identity.incarnation;
        let until = self.nodes[index].clock(self.now) + limit;
        self.decide(index, &upstream, |machine, _| machine.close(Code::NotOwner));
        let mut token = 0;
        if let Some(served) = self.nodes[index].served.get_mut(&upstream) {
            served.releasing = true;
            token = served.token;
            if limit > Millis::ZERO {
                served.release = Some((number, until));
                return;
            }
        }
        let released = Arrival::Released(number, upstream, token);
        self.later(0, Due::Node(index, start, released));
    }

    pub(super) fn ask(
        &mut self,
        from: usize,
        number: u64,
        address: SocketAddr,
        ask: witness::VoteRequest,
    ) {
        let start = self.nodes[from].identity.incarnation;
        let to = self
            .nodes
            .iter()
            .position(|node| node.identity.peer == address);
        self.time_out(from, start, number, CallResult::Vote(None));
        let Some(to) = to else {
            return;
        };
        let callee = self.nodes[to].identity.incarnation;
        if self.connected(from, to) && !self.lost() {
            let delay = self.delay();
            let asked = Arrival::Asked {
                from,
                start,
                number,
                ask,
            };
            self.later(delay, Due::Node(to, callee, asked));
        }
    }

    pub(super) fn time_out(&mut self, node: usize, start: u64, number: u64, answer: CallResult) {
        let limit = Limits::default().call_timeout.0;
        self.later(
            limit,
            Due::Node(node, start, Arrival::Answer(number, answer)),
        );
    }

    pub(super) fn send(&mut self, node: usize, number: u64, call: Call) {
        let start = self.nodes[node].identity.incarnation;
        if !self.service_reachable(node) && self.rng.random_bool(0.5) {
            let error = Error::Unreachable("cut".to_owned());
            let answer = Arrival::Answer(number, failed(&call, error));
            self.later(1, Due::Node(node, start, answer));
            return;
        }
        let silence = failed(&call, Error::NoAnswer("silence".to_owned()));
        self.time_out(node, start, number, silence);
        if !self.service_reachable(node) || self.lost() {
            return;
        }
        let late = self.rng.random_range(0..100) < u32::from(self.faults.late);
        let delay = if late {
            self.rng.random_range(100..12_000)
        } else {
            self.delay()
        };
        let answered = !self.lost();
        self.later(
            delay,
            Due::Service {
                node,
                start,
                number,
                call,
                answered,
            },
        );
    }

    pub(super) fn serve(
        &mut self,
        node: usize,
        start: u64,
        number: u64,
        call: &Call,
        answered: bool,
    ) {
        let now = Millis(self.now);
        let before = match call {
            Call::Commit(transaction) => self.handed_over(node, transaction),
            _ => None,
        };
        let answer = match call {
            Call::Grant(span) => CallResult::Granted(Ok(self.service.grant(now, *span))),
            Call::Renew(lease) => CallResult::Renewed(Ok(self.service.renew(now, *lease))),
            Call::Revoke(lease) => {
                self.service.revoke(*lease);
                CallResult::Revoked
            }
            Call::Commit(transaction) => {
                let commit = self.service.commit(now, transaction);
                if let (Some(upstream), Ok(commit)) = (before, &commit)
                    && commit.done
                {
                    self.check_handover(node, start, &upstream);
                }
                CallResult::Committed(commit)
            }
            Call::Read(key) => CallResult::Read(Ok(self.service.get(key))),
            Call::List => CallResult::Listed(Ok(self.list())),
            Call::RequestVote(..) | Call::Release(..) => return,
        };
        if answered && self.service_reachable(node) {
            let delay = self.slow_delay();
            self.later(
                delay,
                Due::Node(node, start, Arrival::Answer(number, answer)),
            );
        }
    }

    pub(super) fn list(&mut self) -> chivevalve::ports::Listing {
        if self.faults.stale > 0 && self.rng.random_bool(0.5) {
            let back = self.rng.random_range(1..12);
            return self.service.list_stale(PREFIX, back);
        }
        self.service.list(PREFIX)
    }

    // Which upstream a write takes from its own writer, if it is a handover.
    pub(super) fn handed_over(
        &self,
        node: usize,
        transaction: &chivevalve::ports::Transaction,
    ) -> Option<Name> {
        let [chivevalve::ports::Write::Put(key, value, None)] = &transaction.writes[..] else {
            return None;
        };
        let to = Claim::from_value(value, 0)?;
        let current = self.service.entry(key)?;
        let from = Claim::from_value(&current.value, current.revision)?;
        let own = &self.nodes[node].identity.name;
        (from.node == *own && to.node != *own).then_some(to.upstream)
    }

    pub(super) fn check_handover(&mut self, node: usize, start: u64, upstream: &Name) {
        let node = &self.nodes[node];
        let serves = node.served.contains_key(upstream);
        if serves && node.identity.incarnation == start {
            self.violation.get_or_insert(Violation {
                promise: Promise::Handover,
                at: self.now,
                detail: format!("{} still serves {upstream}", node.identity.name),
            });
        }
    }

    // Answers that come late make a bound that counts from them too long.
    pub(super) fn slow_delay(&mut self) -> u64 {
        if self.rng.random_range(0..100) < u32::from(self.faults.late) {
            return self.rng.random_range(100..790);
        }
        self.delay()
    }

    pub fn delay(&mut self) -> u64 {
        self.rng.random_range(1..8)
    }

    pub fn lost(&mut self) -> bool {
        self.rng.random_range(0..100) < u32::from(self.faults.loss)
    }

    pub(super) fn service_reachable(&self, node: usize) -> bool {
        let split = self.faults.service_split;
        let heard = split.is_none_or(|mask| mask >> (node % 8) & 1 == 1);
        self.faults.down == 0 && self.nodes[node].cut == 0 && heard
    }

    pub fn connected(&self, a: usize, b: usize) -> bool {
        let Some(mask) = self.faults.split else {
            return true;
        };
        (mask >> (a % 8) & 1) == (mask >> (b % 8) & 1)
    }
}
