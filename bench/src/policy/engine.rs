//! A fake of a model engine: slots, continuous batching, steps that grow with the batch.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use chivevalve::clock::Millis;

use super::traffic::{Deployment, Request, count};

/// An adapter's place in an engine.
#[derive(Debug, Clone, Copy)]
pub struct Slot {
    /// The adapter.
    pub adapter: u32,
    /// When its load ended; none while it is being loaded.
    pub since: Option<Millis>,
    /// Running requests that use it.
    pub running: u32,
    /// Whether a request has used it since it was loaded.
    pub used: bool,
}

/// One engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Whether it serves.
    pub up: bool,
    /// Adapters that are resident or being loaded.
    pub slots: Vec<Slot>,
    /// Rises with each change, so that outdated events are known.
    pub epoch: u64,
    /// Running requests by the step in which they end. Steps are positive, so
    /// their bits sort like their values.
    running: BinaryHeap<Reverse<(u64, u32)>>,
    /// Steps made so far; they pass as a fluid, not one by one.
    steps: f64,
    /// Steps of the batch, each weighted with its size.
    filled: f64,
    counted_from: (f64, f64),
    /// When `steps` was brought up to date, in microseconds.
    at: f64,
    /// Until when the engine processes prompts, in microseconds.
    prefill_until: f64,
}

impl Engine {
    /// Makes an engine that serves, with nothing loaded.
    pub fn new() -> Self {
        Self {
            up: true,
            ..Self::default()
        }
    }

    /// Finds an adapter's slot.
    pub fn slot(&self, adapter: u32) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.adapter == adapter)
    }

    /// Finds an adapter's slot to change it.
    pub fn slot_mut(&mut self, adapter: u32) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.adapter == adapter)
    }

    /// Whether the adapter can be used now.
    pub fn resident(&self, adapter: u32) -> bool {
        self.slot(adapter).is_some_and(|slot| slot.since.is_some())
    }

    /// Returns the number of running requests.
    pub fn batch(&self) -> usize {
        self.running.len()
    }

    /// Returns steps made, and steps weighted with their batch.
    pub fn steps(&self) -> (f64, f64) {
        let (steps, filled) = self.counted_from;
        (self.steps - steps, self.filled - filled)
    }

    /// Starts to count steps at this moment.
    pub fn reset_steps(&mut self) {
        self.counted_from = (self.steps, self.filled);
    }

    /// Lets the batch run until `now`, in microseconds.
    pub fn advance(&mut self, now: f64, deployment: &Deployment) {
        let from = self.at.max(self.prefill_until);
        if now > from && !self.running.is_empty() {
            let steps = (now - from) / deployment.step(self.running.len());
            self.steps += steps;
            self.filled += steps * count(self.running.len());
        }
        self.at = now;
    }

    /// Starts a request; returns when its first token comes, in microseconds.
    ///
    /// Its prompt holds up the whole batch, as it does without chunked prefill.
    pub fn start(&mut self, now: f64, id: u32, request: &Request, deployment: &Deployment) -> f64 {
        self.advance(now, deployment);
        self.epoch += 1;
        self.prefill_until = self.prefill_until.max(now) + deployment.prefill(request);
        let end = self.steps + f64::from(request.output_tokens);
        self.running.push(Reverse((end.to_bits(), id)));
        self.prefill_until + deployment.step(self.running.len())
    }

    /// Returns when the next request ends if nothing changes, in microseconds.
    pub fn next_end(&self, deployment: &Deployment) -> Option<f64> {
        let Reverse((end, _)) = self.running.peek()?;
        let steps = (f64::from_bits(*end) - self.steps).max(0.0);
        let from = self.at.max(self.prefill_until);
        Some(from + steps * deployment.step(self.running.len()))
    }

    /// Takes out the request whose end was predicted for now.
    pub fn finish(&mut self, now: f64, deployment: &Deployment) -> Option<u32> {
        self.advance(now, deployment);
        self.epoch += 1;
        self.running.pop().map(|Reverse((_, id))| id)
    }

    /// Crashes: everything loaded and running is gone. Returns what ran.
    pub fn crash(&mut self, now: f64, deployment: &Deployment) -> Vec<u32> {
        self.advance(now, deployment);
        self.epoch += 1;
        self.up = false;
        self.slots.clear();
        self.prefill_until = 0.0;
        let mut lost: Vec<u32> = self.running.drain().map(|Reverse((_, id))| id).collect();
        lost.sort_unstable();
        lost
    }
}
