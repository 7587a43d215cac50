//! A model of nodes, engines and callers' requests, some of which crash the engines that run them.
//!
//! Nodes decide with their own [`CrashLedger`]; reports and clearances reach the others after a
//! while, in any order. Everything else is chance, drawn from a seed.

use std::collections::{BTreeMap, VecDeque};

use chivevalve::clock::Millis;
use chivevalve::name::Name;
use chivevalve::poison::fingerprint::{Fingerprint, Identity};
use chivevalve::poison::ledger::CrashLedger;
use chivevalve::poison::report::{CrashReport, Suspect, Suspicion};
use chivevalve::poison::subjects::Subjects;
use chivevalve::poison::trial::{Place, Trials};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Step of the model's clock.
const STEP: Millis = Millis(10);

/// Time from the start of a run to its first event.
const FIRST_EVENT: Millis = Millis(60);

/// Time after the first event from which on a run counts as harmless.
const HARMLESS_AFTER: Millis = Millis(300);

/// Duration of a run.
const RUN_TIME: Millis = Millis(700);

/// Time from the start of a deadly run to the crash.
const CRASH_AFTER: Millis = Millis(50);

/// Time from a crash to its report by the nodes whose requests were there.
const CHECK_TIME: Millis = Millis(40);

/// Delay between nodes that clear the same part.
const CLEAR_STAGGER: Millis = Millis(250);

/// The part that crashes engines.
pub const DEADLY: u64 = 0xbad;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub nodes: usize,
    pub engines: usize,
    /// Requests a second.
    pub rate: usize,
    /// One in so many requests has the deadly part.
    pub deadly_one_in: usize,
    /// From when on, and until when, the deadly part crashes engines.
    pub deadly: (Millis, Millis),
    /// Whether requests with the deadly part come before it crashes engines.
    pub is_sound_before: bool,
    /// How long news takes at least and at most.
    pub news: (Millis, Millis),
    /// How long an engine is away after a crash.
    pub restart: Millis,
    /// When all engines crash without a cause in any request.
    pub crash_of_all: Option<Millis>,
    /// When all nodes are replaced.
    pub replaced: Option<Millis>,
    pub duration: Millis,
}

/// What callers and engines saw.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Outcome {
    /// Engines that crashed under the deadly part.
    pub crashes: usize,
    /// Requests with the part that were sent later than three seconds after the fifth crash.
    pub late_sends: usize,
    /// Sound requests that came, and those rejected as blamed, from the fifth crash on.
    pub sound: usize,
    pub rejected: usize,
    /// The longest time in which sound requests of one first part were rejected without a break.
    pub longest_rejection: Millis,
    /// Parts that nodes cleared for all.
    pub clearances: usize,
}

#[derive(Debug, Clone)]
struct Request {
    subjects: Subjects,
    node: usize,
    engine: usize,
    is_deadly: bool,
    is_trial: bool,
    tries: u32,
    starts_at: Millis,
    is_proven: bool,
}

#[derive(Debug, Clone)]
enum News {
    Report(Name, CrashReport),
    Clearance(Fingerprint, Option<u64>),
}

#[derive(Debug)]
struct Delivery {
    node: usize,
    revision: u64,
    news: News,
}

/// The model.
#[derive(Debug)]
pub struct World {
    scenario: Scenario,
    random: Pcg64,
    now: Millis,
    ledgers: Vec<CrashLedger>,
    /// When an engine is usable, and the number of its start.
    engines: Vec<(Millis, u64)>,
    running: Vec<Request>,
    /// Reports that nodes are about to make.
    checks: VecDeque<(Millis, usize, Name, Vec<Suspect>)>,
    /// Clearances that nodes are about to write.
    clearing: Vec<(Millis, usize, Fingerprint)>,
    /// By the time at which they arrive, and a number of their own.
    deliveries: BTreeMap<(Millis, usize), Delivery>,
    sent: usize,
    written: Vec<(u64, News)>,
    trials: Vec<Trials>,
    requests: u64,
    fifth_crash_at: Option<Millis>,
    /// Since when and until when requests of a first part are rejected.
    rejections: BTreeMap<u64, (Millis, Millis)>,
    outcome: Outcome,
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            random: Pcg64::seed_from_u64(seed),
            now: Millis::ZERO,
            ledgers: (0..scenario.nodes)
                .map(|_| CrashLedger::default())
                .collect(),
            engines: vec![(Millis::ZERO, 0); scenario.engines],
            running: Vec::new(),
            checks: VecDeque::new(),
            clearing: Vec::new(),
            deliveries: BTreeMap::new(),
            sent: 0,
            written: Vec::new(),
            trials: (0..scenario.nodes).map(|_| Trials::default()).collect(),
            requests: 0,
            fifth_crash_at: None,
            rejections: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    /// Plays the scenario to its end.
    pub fn play(mut self) -> Outcome {
        while self.now < self.scenario.duration {
            self.now += STEP;
            self.deliver();
            self.arrive();
            self.run_engines();
            self.report();
            self.clear();
            if self.scenario.crash_of_all == Some(self.now) {
                for engine in 0..self.scenario.engines {
                    self.crash(engine);
                }
            }
            if self.scenario.replaced == Some(self.now) {
                self.replace_nodes();
            }
        }
        self.outcome
    }

    fn below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound)
    }

    fn is_deadly_now(&self) -> bool {
        let (from, until) = self.scenario.deadly;
        self.now >= from && self.now < until
    }

    /// New nodes know what is written, and nothing of what the former ones saw.
    fn replace_nodes(&mut self) {
        self.running.clear();
        self.checks.clear();
        self.clearing.clear();
        self.deliveries.clear();
        for trials in &mut self.trials {
            *trials = Trials::default();
        }
        for ledger in &mut self.ledgers {
            *ledger = CrashLedger::default();
            for (revision, news) in &self.written {
                apply(ledger, news, *revision, self.now);
            }
        }
    }

    fn arrive(&mut self) {
        let per_step = self.scenario.rate * 10;
        let count = per_step / 1_000 + usize::from(self.below(1_000) < per_step % 1_000);
        for _ in 0..count {
            let request = self.draw_request();
            self.submit(request);
        }
    }

    fn draw_request(&mut self) -> Request {
        self.requests += 1;
        let one_in = self.scenario.deadly_one_in;
        let comes = self.is_deadly_now() || self.scenario.is_sound_before;
        let is_deadly = one_in > 0 && comes && self.below(one_in) == 0;
        // Those with the part share their first part with a third of the others.
        let first = if is_deadly { 0 } else { self.below(3) };
        let (caller, subject) = (self.below(40), self.below(400));
        let mut parts = vec![0x100 + first, 0x1_000 + caller, 0x10_000 + subject];
        if is_deadly {
            parts.insert(2, usize::try_from(DEADLY).unwrap());
        }
        let parts = parts.into_iter().map(|id| Fingerprint::of_part(id as u64));
        let body = self.requests.to_be_bytes();
        let fingerprint = Fingerprint::of(&Identity {
            caller: "",
            model: "base/a1",
            method: "POST",
            host: "",
            path: "",
            body: &body,
        });
        Request {
            subjects: Subjects::new(fingerprint, parts),
            node: self.below(self.scenario.nodes),
            engine: 0,
            is_deadly,
            is_trial: false,
            tries: 0,
            starts_at: Millis::ZERO,
            is_proven: false,
        }
    }

    /// Sends a request to an engine unless it is blamed.
    fn submit(&mut self, mut request: Request) {
        let is_late = self
            .fifth_crash_at
            .is_some_and(|at| self.now >= at + Millis(3_000));
        let is_first_try = request.tries == 0;
        let is_counted = !request.is_deadly && is_first_try && self.outcome.crashes >= 5;
        self.outcome.sound += usize::from(is_counted);
        let now = self.now;
        let ledger = &mut self.ledgers[request.node];
        let is_blamed = ledger.blame_of(&request.subjects, now).is_some();
        if is_blamed && !(is_first_try && self.take_trial(&mut request)) {
            if !request.is_deadly && is_first_try {
                self.outcome.rejected += usize::from(is_counted);
                self.note_rejection(&request.subjects);
            }
            return;
        }
        let usable: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].0 <= now)
            .collect();
        if usable.is_empty() {
            return;
        }
        request.engine = usable[self.below(usable.len())];
        request.tries += 1;
        request.starts_at = now + Millis(20 + self.below(300) as u64);
        self.outcome.late_sends += usize::from(request.is_deadly && is_late);
        self.running.push(request);
    }

    fn take_trial(&mut self, request: &mut Request) -> bool {
        let ledger = &mut self.ledgers[request.node];
        let blame = ledger.blame_of(&request.subjects, self.now).cloned();
        let place = Place {
            rank: request.node,
            nodes: self.scenario.nodes,
        };
        let trials = &mut self.trials[request.node];
        request.is_trial = blame.is_some_and(|blame| trials.take(ledger, &blame, place, self.now));
        request.is_trial
    }

    /// Records a rejection of a sound request that an engine could have run.
    fn note_rejection(&mut self, subjects: &Subjects) {
        if self
            .engines
            .iter()
            .all(|(usable_at, _)| *usable_at > self.now)
        {
            return;
        }
        let first = subjects.parts[0].part_id().unwrap();
        let first = u64::from_str_radix(first, 16).unwrap();
        let now = self.now;
        let span = self.rejections.entry(first).or_insert((now, now));
        if now.since(span.1) > Millis(500) {
            *span = (now, now);
        }
        span.1 = now;
        let lasted = span.1.since(span.0);
        self.outcome.longest_rejection = self.outcome.longest_rejection.max(lasted);
    }

    fn run_engines(&mut self) {
        let now = self.now;
        let is_deadly_now = self.is_deadly_now();
        let mut crashed = Vec::new();
        for request in &mut self.running {
            if request.is_deadly && is_deadly_now && now >= request.starts_at + CRASH_AFTER {
                crashed.push(request.engine);
            }
            let first_event = request.starts_at + FIRST_EVENT;
            if !request.is_proven && now >= first_event + HARMLESS_AFTER {
                request.is_proven = true;
                let ledger = &mut self.ledgers[request.node];
                ledger.record_sound_run(&request.subjects.parts, first_event, now);
            }
        }
        self.running
            .retain(|request| now < request.starts_at + RUN_TIME);
        crashed.sort_unstable();
        crashed.dedup();
        for engine in crashed {
            self.outcome.crashes += 1;
            if self.outcome.crashes == 5 {
                self.fifth_crash_at = Some(now);
            }
            self.crash(engine);
        }
    }

    /// Crashes an engine: nodes check it, and requests that were cut go on elsewhere once.
    fn crash(&mut self, engine: usize) {
        let now = self.now;
        let (usable_at, start) = &mut self.engines[engine];
        if *usable_at > now {
            return;
        }
        *usable_at = now + self.scenario.restart;
        *start += 1;
        let name = Name::from(format!("e{engine}/{start}"));
        let all = std::mem::take(&mut self.running);
        let (cut, rest): (Vec<Request>, Vec<Request>) =
            all.into_iter().partition(|one| one.engine == engine);
        self.running = rest;
        let mut suspects: BTreeMap<usize, Vec<Suspect>> = BTreeMap::new();
        for request in cut.iter().filter(|one| !one.is_proven) {
            let since_start = now.0.checked_sub(request.starts_at.0);
            let suspicion = match since_start {
                Some(ran) if ran < FIRST_EVENT.0 => Suspicion::Begun,
                _ => Suspicion::Possible,
            };
            let suspect = Suspect {
                trial: request.is_trial,
                ..Suspect::new(&request.subjects, suspicion)
            };
            suspects.entry(request.node).or_default().push(suspect);
        }
        for (node, suspects) in suspects {
            let check = (now + CHECK_TIME, node, Name::clone(&name), suspects);
            self.checks.push_back(check);
        }
        for mut request in cut {
            if request.tries < 2 {
                request.is_proven = false;
                request.is_trial = false;
                self.submit(request);
            }
        }
    }

    fn report(&mut self) {
        while let Some((_, node, upstream, suspects)) =
            self.checks.pop_front_if(|check| check.0 <= self.now)
        {
            let name = Name::from(format!("end/{upstream}/n{node}"));
            let ledger = &mut self.ledgers[node];
            let report = ledger.add_own_suspects(&name, upstream, suspects, self.now);
            self.publish(node, &News::Report(name, report));
        }
    }

    /// Clears what nodes refute, one node after the other.
    fn clear(&mut self) {
        for node in 0..self.ledgers.len() {
            for part in self.ledgers[node].refuted_parts() {
                let is_due = |one: &(Millis, usize, Fingerprint)| one.1 == node && one.2 == part;
                if !self.clearing.iter().any(is_due) {
                    let at = self.now + Millis(CLEAR_STAGGER.0 * node as u64);
                    self.clearing.push((at, node, part));
                }
            }
        }
        let now = self.now;
        let all = std::mem::take(&mut self.clearing);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|one| one.0 <= now);
        self.clearing = rest;
        for (_, node, part) in due {
            if let Some(revision) = self.ledgers[node].take_refutation(&part) {
                self.outcome.clearances += 1;
                self.publish(node, &News::Clearance(part, revision));
            }
        }
    }

    fn publish(&mut self, from: usize, news: &News) {
        let revision = self.written.len() as u64 + 1;
        self.written.push((revision, news.clone()));
        let (least, most) = self.scenario.news;
        for node in 0..self.scenario.nodes {
            let span = usize::try_from(most.0 - least.0).unwrap();
            let delay = if node == from {
                Millis::ZERO
            } else {
                Millis(least.0 + self.below(span + 1) as u64)
            };
            self.sent += 1;
            let delivery = Delivery {
                node,
                revision,
                news: news.clone(),
            };
            self.deliveries
                .insert((self.now + delay, self.sent), delivery);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let later = self.deliveries.split_off(&(now + Millis(1), 0));
        let due = std::mem::replace(&mut self.deliveries, later);
        for one in due.into_values() {
            apply(&mut self.ledgers[one.node], &one.news, one.revision, now);
        }
    }
}

fn apply(ledger: &mut CrashLedger, news: &News, revision: u64, now: Millis) {
    match news {
        News::Report(name, report) => {
            ledger.add_report(Name::clone(name), report.clone(), Some(revision), now);
        }
        News::Clearance(part, covered) => {
            let covered = covered.map_or(revision, |covered| covered.min(revision));
            ledger.clear(part, Some(covered));
        }
    }
}
