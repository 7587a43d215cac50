//! A lower bound on total stall time for any policy, however much it knows.
//!
//! The bound is the Lagrangian dual of a relaxed problem. Relaxed: all slots
//! form one pool, batches have no limit, no engine crashes, no load fails, and
//! a load may be worked on in pieces. Kept: a load takes its full time, holds
//! a slot from its start, and a window of time has only so much work of the
//! weight store and so many slots. A request waits until its adapter is
//! resident, or costs its whole deadline.
//!
//! Slots get a rent and loads a price in each window, in milliseconds of stall.
//! Given these, the best plan of each adapter is independent of all others and
//! is found exactly by dynamic programming over its requests; the sum over all
//! adapters, less rent and price of all that exists, is at most the stall time
//! of any schedule. That holds for any rents and prices that aren't negative;
//! a subgradient method looks for those that give the largest bound.
//! docs/measurements.md spells it out.

use std::collections::BTreeMap;

use super::traffic::{Request, Workload, count, micros};

/// Length of a window, in milliseconds.
const WINDOW: f64 = 10_000.0;
/// Steps of the subgradient method.
const STEPS: usize = 150;
/// Requests beyond which fewer steps are made, so that a run stays short.
const MANY: usize = 200_000;
/// Steps for that many requests.
const FEW_STEPS: usize = 40;
/// Highest rent. At one stall millisecond for each slot millisecond, keeping
/// an adapter is never dearer than letting a request wait for it, which spares
/// the search for later starts of a load.
const MAX_RENT: f64 = 1.0;

/// Whether a load may start before a request asks for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Foresight {
    /// A load starts when a request waits for it: knowledge serves eviction and order only.
    OnDemand,
    /// A load may start at any time before its first request.
    Prefetch,
}

/// A request as the bound sees it.
#[derive(Debug, Clone, Copy)]
struct Use {
    id: u32,
    at: f64,
    timeout: f64,
}

/// Rent and price of each window, and what the plans used of it.
#[derive(Debug, Clone)]
struct Windows {
    rent: Vec<f64>,
    price: Vec<f64>,
    /// Rent of one slot from the start to each window's start.
    rent_before: Vec<f64>,
    /// Cheapest way to have loaded before each window's start and kept the slot.
    early: Vec<f64>,
}

impl Windows {
    fn new(len: usize) -> Self {
        let zeros = vec![0.0; len];
        Self {
            rent: zeros.clone(),
            price: zeros.clone(),
            rent_before: zeros.clone(),
            early: zeros,
        }
    }

    fn prepare(&mut self) {
        let (mut sum, mut early) = (0.0, f64::INFINITY);
        for window in 0..self.rent.len() {
            self.rent_before[window] = sum;
            self.early[window] = early;
            sum += self.rent[window] * WINDOW;
            early = (early + self.rent[window] * WINDOW).min(self.price[window]);
        }
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times are positive and end after hours"
    )]
    fn at(&self, time: f64) -> usize {
        ((time / WINDOW) as usize).min(self.rent.len() - 1)
    }

    /// Returns the rent of a slot from the start to `time`.
    fn rent_to(&self, time: f64) -> f64 {
        let window = self.at(time);
        self.rent_before[window] + self.rent[window] * (time - count(window) * WINDOW)
    }

    /// Returns the least price of a load whose work lies between these times.
    fn price_within(&self, from: f64, to: f64) -> (f64, usize) {
        let windows = self.at(from)..=self.at(to);
        let prices = windows.map(|window| (self.price[window], window));
        prices
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .unwrap_or((0.0, 0))
    }

    /// Returns the least price and rent of having loaded at some time before `time`.
    fn prefetch(&self, time: f64) -> f64 {
        let window = self.at(time);
        let into = time - count(window) * WINDOW;
        let before = self.early[window] + self.rent[window] * into;
        before.min(self.price[window])
    }
}

/// How an adapter's plan goes on at a request.
#[derive(Debug, Clone, Copy)]
enum Choice {
    /// The request is refused.
    Refuse,
    /// A load starts at `start`; requests before `next` wait for it.
    Load { start: f64, next: usize },
    /// The adapter was loaded before the request.
    Prefetched,
}

/// What the plans of all adapters come to.
#[derive(Debug, Default)]
struct Plans {
    cost: f64,
    slot_time: Vec<f64>,
    loads: Vec<f64>,
    /// Stall of each request, by number.
    stalls: Vec<f64>,
    started: u64,
}

/// The bound and the relaxed schedule behind it.
#[derive(Debug, Default)]
pub struct Bound {
    /// No policy's total stall time is below this, in milliseconds.
    pub stall_ms: f64,
    /// Stall of each request in the relaxed schedule; their sum is no bound.
    pub stalls: Vec<f64>,
    /// Loads in the relaxed schedule.
    pub loads: u64,
}

struct Solver<'a> {
    workload: &'a Workload,
    foresight: Foresight,
    load: f64,
    uses: BTreeMap<u32, Vec<Use>>,
    windows: Windows,
}

/// Computes the bound for a workload.
pub fn bound(workload: &Workload, foresight: Foresight) -> Bound {
    let mut solver = Solver::new(workload, foresight);
    let many = workload.requests.len() > MANY;
    solver.climb(if many { FEW_STEPS } else { STEPS })
}

impl<'a> Solver<'a> {
    fn new(workload: &'a Workload, foresight: Foresight) -> Self {
        let mut uses: BTreeMap<u32, Vec<Use>> = BTreeMap::new();
        let mut end: f64 = 0.0;
        for (id, request) in (0_u32..).zip(&workload.requests) {
            if workload.counts(request) {
                let each = part(id, request);
                end = end.max(each.at + each.timeout);
                uses.entry(request.adapter).or_default().push(each);
            }
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times are positive and end after hours"
        )]
        let windows = (end / WINDOW) as usize + 2;
        Self {
            workload,
            foresight,
            load: 1000.0 / workload.deployment.loads_per_second,
            uses,
            windows: Windows::new(windows),
        }
    }

    /// Changes rents and prices step by step towards what the plans use too much of.
    fn climb(&mut self, steps: usize) -> Bound {
        let deployment = &self.workload.deployment;
        let slots = count(deployment.engines * deployment.slots) * WINDOW;
        let loads = WINDOW / self.load;
        let mut best = Bound::default();
        for step in 0..steps {
            self.windows.prepare();
            let plans = self.plans();
            let rents: f64 = self.windows.rent.iter().sum();
            let prices: f64 = self.windows.price.iter().sum();
            let value = plans.cost - rents * slots - prices * loads;
            if value > best.stall_ms || step == 0 {
                best = Bound {
                    stall_ms: value.max(0.0),
                    stalls: plans.stalls,
                    loads: plans.started,
                };
            }
            let pace = 1.0 / (1.0 + count(step) / 10.0);
            for window in 0..self.windows.rent.len() {
                let rent = &mut self.windows.rent[window];
                let over = plans.slot_time[window] / slots - 1.0;
                *rent = (*rent + RENT_PACE * pace * over).clamp(0.0, MAX_RENT);
                let price = &mut self.windows.price[window];
                let over = plans.loads[window] / loads - 1.0;
                *price = (*price + PRICE_PACE * self.load * pace * over).max(0.0);
            }
        }
        best
    }

    fn plans(&self) -> Plans {
        let len = self.windows.rent.len();
        let mut plans = Plans {
            slot_time: vec![0.0; len],
            loads: vec![0.0; len],
            stalls: vec![0.0; self.workload.requests.len()],
            ..Plans::default()
        };
        for uses in self.uses.values() {
            self.plan(uses, &mut plans);
        }
        plans
    }

    /// Plans one adapter from its last request to its first, then books the plan.
    fn plan(&self, uses: &[Use], plans: &mut Plans) {
        let len = uses.len();
        // Cost from a request on: when the adapter is absent before it, and
        // when it is resident at it.
        let mut absent = vec![0.0; len + 1];
        let mut resident = vec![0.0; len + 1];
        let mut choices = vec![Choice::Refuse; len];
        for index in (0..len).rev() {
            let this = uses[index];
            resident[index] = self.onward(uses, this.at, index + 1, &absent, &resident);
            let (cost, choice) = self.choose(uses, index, &absent, &resident);
            absent[index] = cost;
            choices[index] = choice;
        }
        let warm = self.workload.warm_up.0 > 0;
        let start = micros(self.workload.warm_up) / 1000.0;
        let kept = self.rent(start, uses[0].at) + resident[0];
        let mut from = (0, None);
        if warm && kept < absent[0] {
            plans.cost += kept;
            self.book_rent(start, uses[0].at, plans);
            from = (0, Some(uses[0].at));
        } else {
            plans.cost += absent[0];
        }
        self.book(uses, from, &choices, (&absent, &resident), plans);
    }

    /// Returns the least cost from `time`, when the adapter is resident, on to request `next`.
    fn onward(
        &self,
        uses: &[Use],
        time: f64,
        next: usize,
        absent: &[f64],
        resident: &[f64],
    ) -> f64 {
        if next == uses.len() {
            return 0.0;
        }
        absent[next].min(self.rent(time, uses[next].at) + resident[next])
    }

    fn rent(&self, from: f64, to: f64) -> f64 {
        self.windows.rent_to(to) - self.windows.rent_to(from)
    }

    fn choose(
        &self,
        uses: &[Use],
        index: usize,
        absent: &[f64],
        resident: &[f64],
    ) -> (f64, Choice) {
        let this = uses[index];
        let mut best = (this.timeout + absent[index + 1], Choice::Refuse);
        if self.foresight == Foresight::Prefetch {
            let cost = self.windows.prefetch(this.at) + resident[index];
            if cost < best.0 {
                best = (cost, Choice::Prefetched);
            }
        }
        // With rents up to one, a load starts at once or where its price falls.
        let mut start = this.at;
        while start - this.at < best.0.min(this.timeout) {
            let (cost, next) = self.load_at(uses, index, start, absent, resident);
            if cost < best.0 {
                best = (cost, Choice::Load { start, next });
            }
            start = count(self.windows.at(start) + 1) * WINDOW;
        }
        best
    }

    /// Returns the cost of a load that starts at `start`, and the first request after it.
    fn load_at(
        &self,
        uses: &[Use],
        index: usize,
        start: f64,
        absent: &[f64],
        resident: &[f64],
    ) -> (f64, usize) {
        let done = start + self.load;
        let mut cost = self.windows.price_within(uses[index].at, done).0 + self.rent(start, done);
        let mut next = index;
        while next < uses.len() && uses[next].at <= done {
            cost += (done - uses[next].at).min(uses[next].timeout);
            next += 1;
        }
        cost += self.onward(uses, done, next, absent, resident);
        (cost, next)
    }

    /// Books what the best plan uses of each window.
    fn book(
        &self,
        uses: &[Use],
        from: (usize, Option<f64>),
        choices: &[Choice],
        (absent, resident): (&[f64], &[f64]),
        plans: &mut Plans,
    ) {
        let (mut index, mut since) = from;
        if since.is_some() {
            index += 1;
        }
        while index < uses.len() {
            let this = uses[index];
            if let Some(time) = since {
                if self.rent(time, this.at) + resident[index] <= absent[index] {
                    self.book_rent(time, this.at, plans);
                    since = Some(this.at);
                    index += 1;
                    continue;
                }
                since = None;
            }
            match choices[index] {
                Choice::Refuse => {
                    plans.stalls[this.id as usize] = this.timeout;
                    index += 1;
                }
                Choice::Prefetched => {
                    plans.started += 1;
                    plans.loads[self.windows.at(this.at)] += 1.0;
                    since = Some(this.at);
                    index += 1;
                }
                Choice::Load { start, next } => {
                    let done = start + self.load;
                    plans.started += 1;
                    let (_, window) = self.windows.price_within(this.at, done);
                    plans.loads[window] += 1.0;
                    self.book_rent(start, done, plans);
                    for each in &uses[index..next] {
                        plans.stalls[each.id as usize] = (done - each.at).min(each.timeout);
                    }
                    since = Some(done);
                    index = next;
                }
            }
        }
    }

    fn book_rent(&self, from: f64, to: f64, plans: &mut Plans) {
        let mut from = from;
        while from < to {
            let window = self.windows.at(from);
            let until = to.min(count(window + 1) * WINDOW);
            plans.slot_time[window] += until - from;
            if until <= from {
                break;
            }
            from = until;
        }
    }
}

/// How fast rents and prices follow what is used too much.
const RENT_PACE: f64 = 0.02;
const PRICE_PACE: f64 = 0.5;

fn part(id: u32, request: &Request) -> Use {
    Use {
        id,
        at: micros(request.arrival) / 1000.0,
        timeout: micros(request.timeout()) / 1000.0,
    }
}
