use super::*;
use crate::policy::source::{Profile, Source};
use crate::policy::workload::trgovski;

/// Two engines, two adapters, four requests.
fn small() -> Workload {
    let deployment = Deployment {
        engines: 2,
        slots: 1,
        batch: 1,
        adapters: 2,
        load_failures: 0.0,
        ..trgovski()
    };
    let profile = Profile {
        seconds: 10.0,
        ..Profile::steady(0.4, 1.0)
    };
    let requests = Source::new(&deployment, &profile, 1).requests(&profile);
    Workload {
        name: "small".to_owned(),
        deployment,
        requests,
        outages: Vec::new(),
        warm_up: Millis::ZERO,
    }
}

/// A policy that does what a test says at each arrival, and nothing else.
struct Script(Vec<Vec<Action>>);

impl Policy for Script {
    fn on_arrival(&mut self, _: &World, _: u32, actions: &mut Vec<Action>) {
        if !self.0.is_empty() {
            actions.extend(self.0.remove(0));
        }
    }
    fn on_load_done(&mut self, _: &World, _: LoadDone, _: &mut Vec<Action>) {}
    fn on_finish(&mut self, _: &World, _: u32, _: usize, _: &mut Vec<Action>) {}
    fn on_down(&mut self, _: &World, _: usize, _: &mut Vec<Action>) {}
    fn on_up(&mut self, _: &World, _: usize, _: &mut Vec<Action>) {}
    fn on_wake(&mut self, _: &World, _: usize, _: &mut Vec<Action>) {}
    fn on_tick(&mut self, _: &World, _: &mut Vec<Action>) {}
}

fn breaches(script: Vec<Vec<Action>>) -> Vec<String> {
    let workload = small();
    let mut world = World::new(&workload, 1);
    world.play(&mut Script(script));
    world.described
}

fn breached(script: Vec<Vec<Action>>, what: &str) {
    let described = breaches(script);
    let found = described.iter().any(|text| text.contains(what));
    assert!(found, "{what:?} in {described:?}");
}

const REFUSE: Action = Action::Refuse {
    id: 0,
    code: Code::QueueFull,
};
const QUEUE: Action = Action::Queue { id: 0, engine: 0 };

fn load(adapter: u32) -> Action {
    Action::Load { engine: 0, adapter }
}

#[test]
fn play_unplaced_request() {
    breached(vec![], "neither placed nor refused");
}

#[test]
fn play_lost_request() {
    breached(vec![vec![QUEUE]], "never got an answer");
}

#[test]
fn play_doubled_answer() {
    breached(vec![vec![REFUSE, REFUSE]], "refused while Refused");
}

#[test]
fn play_start_without_adapter() {
    let start = Action::Start { id: 0 };
    breached(vec![vec![QUEUE, start]], "started without its adapter");
}

#[test]
fn play_over_slots() {
    breached(vec![vec![REFUSE, load(0), load(1)]], "over its slots");
}

#[test]
fn play_evict_while_loading() {
    let evict = Action::Evict {
        engine: 0,
        adapter: 0,
    };
    breached(vec![vec![REFUSE, load(0), evict]], "not resident");
}
