//! Which fault each request met that has no whole answer.

use std::collections::BTreeMap;

use chivevalve::error::Fate;
use chivevalve_standins::caller::Ending;
use chivevalve_standins::judge::{Answer, Deal};
use serde::Serialize;
use tokio::time::Instant;

use crate::site::{Event, Kind, Site};

/// Requests of one part of the campaign.
#[derive(Debug, Default, Serialize)]
pub struct Phase {
    pub requests: u64,
    pub whole: u64,
    /// Refused as not run, by code.
    pub not_run: BTreeMap<String, u64>,
    /// May have run: the caller's own node was killed or paused meanwhile.
    pub unknown_on_node: u64,
    /// May have run: another node, which owned the upstream, was killed or paused.
    pub unknown_through_owner: u64,
    /// May have run: the engine was restarted meanwhile.
    pub unknown_through_engine: u64,
    /// May have run, and no fault explains it.
    pub unknown_unexplained: u64,
    /// What the callers saw of requests that may have run.
    pub unknown: BTreeMap<String, u64>,
    /// Requests that no node could be connected to for.
    pub unsent: u64,
}

impl Phase {
    /// Counts the requests that began in a span of time.
    pub fn count(deals: &[Deal], site: &Site, from: Instant, until: Instant) -> Self {
        let events = site.events();
        let mut phase = Self::default();
        for deal in deals {
            if deal.began >= from && deal.began < until {
                phase.add(deal, site, &events);
            }
        }
        phase
    }

    fn add(&mut self, deal: &Deal, site: &Site, events: &[Event]) {
        self.requests += 1;
        match end(&deal.answer) {
            End::Whole => self.whole += 1,
            End::Unsent => self.unsent += 1,
            End::NotRun(code) => *self.not_run.entry(code).or_default() += 1,
            End::Unknown(how) => {
                *self.unknown.entry(how).or_default() += 1;
                self.explain(deal, site, events);
            }
        }
    }

    fn explain(&mut self, deal: &Deal, site: &Site, events: &[Event]) {
        let node = site
            .slots
            .iter()
            .find(|slot| Some(slot.node.callers) == deal.node)
            .map(|slot| slot.node.name.as_str());
        let met =
            |event: &&Event| event.from <= deal.began + deal.took && event.until >= deal.began;
        let met: Vec<&Event> = events.iter().filter(met).collect();
        let down = |event: &&&Event| matches!(event.kind, Kind::Kill | Kind::Pause);
        let own = |event: &&Event| Some(event.target.as_str()) == node;
        if met.iter().filter(down).any(own) {
            self.unknown_on_node += 1;
        } else if met.iter().any(|event| event.kind == Kind::EngineRestart)
            && deal.request.adapter.is_some()
        {
            self.unknown_through_engine += 1;
        } else if met.iter().any(|event| down(&event)) {
            self.unknown_through_owner += 1;
        } else {
            self.unknown_unexplained += 1;
        }
    }
}

/// What became of a request, in its caller's eyes.
enum End {
    Whole,
    Unsent,
    NotRun(String),
    Unknown(String),
}

fn end(answer: &Answer) -> End {
    match answer {
        Answer::Completion(ending) => read(ending),
        Answer::Call(ending) => read(ending),
    }
}

fn read<T>(ending: &Ending<T>) -> End {
    match ending {
        Ending::Whole(_) => End::Whole,
        Ending::Unsent => End::Unsent,
        Ending::Told(told) if told.fate == Fate::NotRun => End::NotRun(told.code.clone()),
        Ending::Told(told) => End::Unknown(told.code.clone()),
        Ending::Lost(_) => End::Unknown("connection_lost".to_owned()),
    }
}
