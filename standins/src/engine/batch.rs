//! Continuous batching: each step gives every running request one token.

use std::collections::VecDeque;
use std::time::Duration;

use chivevalve::name::Name;
use tokio::sync::mpsc::UnboundedSender;

use super::text::Prompt;
use super::{Counts, Outcome, Run, Shape, micros};

/// A token of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Token {
    /// Its number in the answer, from 0.
    pub(super) number: u32,
    /// When it was made, by [`super::micros`].
    pub(super) made: u64,
}

/// A request in the batch or waiting for it.
#[derive(Debug)]
pub(super) struct Active {
    /// Index of its run.
    run: usize,
    priority: i64,
    prompt_tokens: u64,
    made: u32,
    tokens: u32,
    /// After how many tokens it is cut.
    cut_at: Option<u32>,
    /// Closes without the last token if the run is cut.
    sender: UnboundedSender<Token>,
}

impl Active {
    pub(super) fn new(prompt: &Prompt, cut: bool, sender: UnboundedSender<Token>) -> Self {
        Self {
            run: 0,
            priority: prompt.priority,
            prompt_tokens: u64::from(prompt.length),
            made: 0,
            tokens: prompt.tokens,
            cut_at: cut.then_some(prompt.tokens / 2),
            sender,
        }
    }
}

/// All that runs and waits, and all that ever ran.
#[derive(Debug, Default)]
pub(super) struct Batch {
    pub(super) runs: Vec<Run>,
    pub(super) counts: Counts,
    running: Vec<Active>,
    waiting: VecDeque<Active>,
    /// Tokens of prompts that came into the batch since the last step.
    prefill: u64,
}

impl Batch {
    pub(super) fn add(&mut self, run: Run, mut active: Active) {
        active.run = self.runs.len();
        self.runs.push(run);
        let place = self
            .waiting
            .iter()
            .position(|other| other.priority > active.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(place, active);
    }

    /// Fills the batch from the queue.
    pub(super) fn admit(&mut self, limit: usize) {
        while self.running.len() < limit {
            let Some(active) = self.waiting.pop_front() else {
                return;
            };
            self.prefill += active.prompt_tokens;
            self.running.push(active);
        }
    }

    /// Returns how long the next step takes, or none if nothing runs.
    pub(super) fn span(&mut self, shape: &Shape) -> Option<Duration> {
        let others = u64::try_from(self.running.len().checked_sub(1)?).unwrap_or(u64::MAX);
        let prefill = std::mem::take(&mut self.prefill) * shape.prefill_us;
        let micros = shape.step_us + others * shape.step_per_request_us + prefill;
        Some(Duration::from_micros(micros))
    }

    pub(super) fn step(&mut self) {
        self.counts.steps += 1;
        let now = micros();
        let runs = &mut self.runs;
        let counts = &mut self.counts;
        self.running.retain_mut(|active| {
            let ended = token(active, now, counts);
            if let Some(outcome) = ended {
                runs[active.run].outcome = outcome;
            }
            ended.is_none()
        });
    }

    /// Cuts everything off, as an engine that dies does.
    pub(super) fn cut_all(&mut self) {
        for active in self.running.drain(..).chain(self.waiting.drain(..)) {
            self.runs[active.run].outcome = Outcome::Cut;
        }
    }

    /// Counts the requests, running or waiting, that use an adapter.
    pub(super) fn users(&self, adapter: &str) -> usize {
        self.running
            .iter()
            .chain(&self.waiting)
            .filter(|active| !active.sender.is_closed())
            .filter(|active| &*self.runs[active.run].adapter == adapter)
            .count()
    }

    /// Lists what runs, with adapters, and counts what waits.
    pub(super) fn running(&self) -> (Vec<(Name, Name)>, u32) {
        let running = self
            .running
            .iter()
            .map(|active| &self.runs[active.run])
            .map(|run| (Name::clone(&run.id), Name::clone(&run.adapter)))
            .collect();
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        (running, waiting)
    }
}

/// Makes one token; returns how the run ended if it did.
fn token(active: &mut Active, made: u64, counts: &mut Counts) -> Option<Outcome> {
    if active.cut_at == Some(active.made) {
        return Some(Outcome::Cut);
    }
    let number = active.made;
    if active.sender.send(Token { number, made }).is_err() {
        return Some(Outcome::Cancelled);
    }
    counts.tokens += 1;
    active.made += 1;
    (active.made == active.tokens).then_some(Outcome::Done)
}
