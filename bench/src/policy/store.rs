//! A fake of the weight store: one rate for the whole deployment.

use super::traffic::count;

/// A load in progress.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The engine that loads.
    pub engine: usize,
    /// What it loads.
    pub adapter: u32,
    /// Work left, as a share of one load.
    left: f64,
    /// Whether it will break off instead of ending well.
    pub fails: bool,
}

/// The weight store; loads in progress share its rate evenly.
#[derive(Debug)]
pub struct Store {
    /// Loads in progress, the oldest first.
    pub loads: Vec<Load>,
    /// Rises with each change, so that outdated events are known.
    pub epoch: u64,
    /// Loads a microsecond at full speed.
    rate: f64,
    at: f64,
    busy: f64,
}

impl Store {
    /// Makes a store of this many loads a second.
    pub fn new(loads_per_second: f64) -> Self {
        Self {
            loads: Vec::new(),
            epoch: 0,
            rate: loads_per_second / 1e6,
            at: 0.0,
            busy: 0.0,
        }
    }

    /// Goes on at another rate, in loads a second.
    pub fn set_rate(&mut self, now: f64, loads_per_second: f64) {
        self.advance(now);
        self.epoch += 1;
        self.rate = loads_per_second / 1e6;
    }

    /// Forgets for how long it was busy.
    pub fn reset_busy(&mut self) {
        self.busy = 0.0;
    }

    /// Returns for how long at least one load has been in progress, in microseconds.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Lets loads go on until `now`, in microseconds.
    pub fn advance(&mut self, now: f64) {
        let span = now - self.at;
        self.at = now;
        if self.loads.is_empty() {
            return;
        }
        self.busy += span;
        let done = span * self.rate / count(self.loads.len());
        for load in &mut self.loads {
            load.left -= done;
        }
    }

    /// Starts a load; one that fails does so after the share `fails_at` of its work.
    pub fn start(&mut self, now: f64, engine: usize, adapter: u32, fails_at: Option<f64>) {
        self.advance(now);
        self.epoch += 1;
        self.loads.push(Load {
            engine,
            adapter,
            left: fails_at.unwrap_or(1.0),
            fails: fails_at.is_some(),
        });
    }

    fn next(&self) -> Option<usize> {
        (0..self.loads.len()).min_by(|&a, &b| self.loads[a].left.total_cmp(&self.loads[b].left))
    }

    /// Returns when the next load ends if nothing changes, in microseconds.
    pub fn next_end(&self) -> Option<f64> {
        let left = self.loads[self.next()?].left.max(0.0);
        Some(self.at + left * count(self.loads.len()) / self.rate)
    }

    /// Takes out the load whose end was predicted for now.
    pub fn finish(&mut self, now: f64) -> Option<Load> {
        self.advance(now);
        self.epoch += 1;
        self.next().map(|index| self.loads.remove(index))
    }

    /// Drops an engine's loads, as when it crashes.
    pub fn cancel(&mut self, now: f64, engine: usize) {
        self.advance(now);
        self.epoch += 1;
        self.loads.retain(|load| load.engine != engine);
    }
}
