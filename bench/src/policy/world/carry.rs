//! Carrying out a policy's actions, each of them checked.

use chivevalve::error::Code;
use rand::RngExt;

use super::{Action, Ending, Event, SLACK, Slot, World, floor, micros};

impl World<'_> {
    pub(super) fn carry_out(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Queue { id, engine } => self.queue(id, engine),
                Action::Start { id } => self.start(id),
                Action::Refuse { id, code } => self.refuse(id, code),
                Action::Evict { engine, adapter } => self.evict(engine, adapter),
                Action::Load { engine, adapter } => self.load(engine, adapter),
                Action::Wake { engine, at } => self.push(micros(at), Event::Wake { engine }),
            }
        }
    }

    fn queue(&mut self, id: u32, engine: usize) {
        match self.courses[id as usize].ending {
            Ending::Unplaced => {}
            Ending::Waiting => self.stop_waiting(id),
            ending => return self.breach(|| format!("request {id} queued while {ending:?}")),
        }
        let now = self.now();
        let course = &mut self.courses[id as usize];
        course.ending = Ending::Waiting;
        course.engine = engine;
        course.queued = now;
    }

    /// Ends a wait at an engine and books how much of it was for the adapter.
    pub(super) fn stop_waiting(&mut self, id: u32) {
        let now = self.now();
        let course = self.courses[id as usize];
        let adapter = self.request(id).adapter;
        let slot = self.engines[course.engine].slot(adapter);
        let resident = slot.and_then(|slot| slot.since).unwrap_or(now);
        self.courses[id as usize].stall += resident.since(course.queued);
    }

    fn start(&mut self, id: u32) {
        let course = self.courses[id as usize];
        let request = *self.request(id);
        let engine = course.engine;
        if course.ending != Ending::Waiting {
            let ending = course.ending;
            return self.breach(|| format!("request {id} started while {ending:?}"));
        }
        if self.now() > request.deadline() + SLACK {
            self.breach(|| format!("request {id} waited past its bound"));
        }
        let up = self.engines[engine].up;
        if !up || !self.engines[engine].resident(request.adapter) {
            return self.breach(|| format!("request {id} started without its adapter"));
        }
        if self.engines[engine].batch() >= self.workload.deployment.batch {
            return self.breach(|| format!("engine {engine} over its batch"));
        }
        self.stop_waiting(id);
        let deployment = &self.workload.deployment;
        let first = self.engines[engine].start(self.now_us, id, &request, deployment);
        if let Some(slot) = self.engines[engine].slot_mut(request.adapter) {
            slot.running += 1;
            slot.used = true;
        }
        let course = &mut self.courses[id as usize];
        course.ending = Ending::Running;
        course.first_token = floor(first);
        self.plan_engine(engine);
    }

    fn refuse(&mut self, id: u32, code: Code) {
        let course = self.courses[id as usize];
        match course.ending {
            Ending::Unplaced => {}
            Ending::Waiting => self.stop_waiting(id),
            ending => return self.breach(|| format!("request {id} refused while {ending:?}")),
        }
        if self.now() > self.request(id).deadline() + SLACK {
            self.breach(|| format!("request {id} waited past its bound"));
        }
        self.end(id, Ending::Refused(code));
    }

    fn evict(&mut self, engine: usize, adapter: u32) {
        let slot = self.engines[engine].slot(adapter).copied();
        let Some(Slot {
            since: Some(_),
            running,
            used,
            ..
        }) = slot
        else {
            return self.breach(|| format!("engine {engine} dropped {adapter}, not resident"));
        };
        if running > 0 {
            return self.breach(|| format!("engine {engine} dropped {adapter}, which is in use"));
        }
        self.loads.wasted += u64::from(!used);
        let slots = &mut self.engines[engine].slots;
        slots.retain(|slot| slot.adapter != adapter);
    }

    fn load(&mut self, engine: usize, adapter: u32) {
        let slots = self.workload.deployment.slots;
        let target = &mut self.engines[engine];
        if !target.up || target.slot(adapter).is_some() {
            return self.breach(|| format!("engine {engine} can't load {adapter} now"));
        }
        if target.slots.len() >= slots {
            return self.breach(|| format!("engine {engine} over its slots"));
        }
        target.slots.push(Slot {
            adapter,
            since: None,
            running: 0,
            used: false,
        });
        let failures = self.workload.deployment.load_failures;
        let fails = failures > 0.0 && self.rng.random_bool(failures);
        let fails_at = fails.then(|| self.rng.random_range(0.1..0.9));
        self.loads.started += 1;
        self.load_began.push((engine, adapter, self.now_us));
        self.store.start(self.now_us, engine, adapter, fails_at);
        self.plan_store();
    }
}
