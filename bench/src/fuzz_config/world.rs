//! Plays a story over several nodes' real configuration and exchange.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chivevalve::clock::Millis;
use chivevalve::config::{Accepted, Error, Limits};
use chivevalve::declaration::DeclarationSet;
use chivevalve::gossip;
use chivevalve::schema::declaration::Template;
use chivevalve_standins::store::Knobs;
use tokio::task::JoinSet;

use super::event::{Edit, Event, NODES, TEMPLATES};
use super::oracle::{self, Asked, Oracle, Told};
use super::service::{Faults, Faulty};
use crate::spread::base;
use crate::spread::links::{End, Everyone};
use crate::spread::site::{Ground, Site, Way, peer};

/// Time in which all nodes must be equal once everything is well.
const SETTLE: Duration = Duration::from_mins(2);
/// Templates of a change that is too large for its differences to be kept.
const BULK: usize = 1_500;

/// A node with what is wrong with its reads.
struct Node {
    site: Site,
    start: u64,
    stale: Arc<Mutex<(u32, u64)>>,
}

/// Several nodes, their service and the oracle.
pub struct World {
    ground: Ground,
    faults: Arc<Faults>,
    nodes: Vec<Node>,
    oracle: Oracle,
    answers: JoinSet<(String, Result<Accepted, Error>)>,
    asked: u64,
    starts: u64,
}

/// Plays a story. Returns what was violated, if anything was.
///
/// # Errors
///
/// A sentence about the first promise that didn't hold.
pub async fn play(story: &[Event], seed: u64) -> Result<(), String> {
    let mut world = World::new(seed);
    world.run(story).await
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            ground: Ground::new(seed),
            faults: Arc::default(),
            nodes: Vec::new(),
            oracle: Oracle::default(),
            answers: JoinSet::new(),
            asked: 0,
            starts: 0,
        };
        for number in 0..NODES {
            let node = world.start(number);
            world.nodes.push(node);
        }
        world
    }

    fn start(&mut self, number: usize) -> Node {
        self.starts += 1;
        let peer = peer(number);
        self.ground.links.add(&peer);
        let stale = Arc::new(Mutex::new((0, 0)));
        let faulty = Arc::new(Faulty {
            access: self.ground.access(peer.address),
            store: Arc::clone(&self.ground.store),
            faults: Arc::clone(&self.faults),
            stale: Arc::clone(&stale),
        });
        let transport = Arc::new(End {
            links: Arc::clone(&self.ground.links),
            own: peer.clone(),
        });
        let peers = Arc::new(Everyone {
            links: Arc::clone(&self.ground.links),
            own: Arc::clone(&peer.name),
        });
        let way = Way {
            config: Limits {
                // One watcher a region: more nodes depend on the exchange.
                watchers_per_region: 1,
                call_timeout: Millis(1_000),
                ..Limits::default()
            },
            gossip: Some(gossip::Limits::default()),
        };
        let store = (Arc::clone(&faulty) as _, faulty as _);
        let site = Site::over(
            &self.ground,
            &way,
            peer,
            self.starts,
            transport,
            peers,
            store,
        );
        Node {
            site,
            start: self.starts,
            stale,
        }
    }

    async fn run(&mut self, story: &[Event]) -> Result<(), String> {
        for event in story {
            self.happen(event).await;
            tokio::time::sleep(Duration::from_millis(1)).await;
            self.check().await?;
        }
        self.end().await
    }

    async fn happen(&mut self, event: &Event) {
        let store = Arc::clone(&self.ground.store);
        let knobs = store.knobs();
        match event {
            Event::Wait(span) => tokio::time::sleep(Duration::from_millis(*span)).await,
            Event::Apply(node, edit) => self.apply(*node, *edit),
            Event::Race(one, other, first, second) => {
                self.apply(*one, *first);
                self.apply(*other, *second);
            }
            Event::Retry(node) => self.retry(*node),
            Event::Reuse(node, edit) => self.reuse(*node, *edit),
            Event::Rollback(node, back) => self.rollback(*node, *back).await,
            Event::LoseAnswers(writes) => self.faults.lose(*writes),
            Event::DelayWrites(writes, span) => self.faults.delay(*writes, *span),
            Event::Down => store.set(Knobs {
                down: true,
                ..knobs
            }),
            Event::Up => store.set(Knobs {
                down: false,
                ..knobs
            }),
            Event::Slow(span) => store.set(Knobs {
                slow_ms: *span,
                ..knobs
            }),
            Event::Stale(node, reads, behind) => {
                let stale = &self.nodes[*node].stale;
                *stale.lock().unwrap_or_else(PoisonError::into_inner) = (*reads, *behind);
            }
            Event::Compact => store.compact(),
            Event::Pause(node) => self.ground.links.pause(peer(*node).address, true),
            Event::Resume(node) => self.ground.links.pause(peer(*node).address, false),
            Event::Restart(node) => self.restart(*node),
            Event::Partition(mask) => self.partition(*mask),
            Event::Loss(percent) => self.ground.links.lose(*percent),
            Event::Heal => self.heal(),
        }
    }

    fn partition(&self, mask: u8) {
        for number in 0..NODES {
            let side = u32::from(mask >> number & 1);
            self.ground.links.part(peer(number).address, side);
        }
    }

    fn heal(&self) {
        self.ground.store.set(Knobs::default());
        self.ground.links.lose(0);
        self.partition(0);
        self.faults.heal();
        for (number, node) in self.nodes.iter().enumerate() {
            self.ground.links.pause(peer(number).address, false);
            *node.stale.lock().unwrap_or_else(PoisonError::into_inner) = (0, 0);
        }
    }

    fn restart(&mut self, number: usize) {
        self.nodes[number].site.end(&self.ground);
        self.nodes[number] = self.start(number);
    }

    /// Asks for a change on top of what the node has learned.
    fn apply(&mut self, number: usize, edit: Edit) {
        let learned = self.nodes[number].site.config.learned();
        let mut set = learned.to_set();
        if set.is_empty() {
            set = base();
            set.templates.clear();
        }
        self.asked += 1;
        change(&mut set, edit, self.asked);
        let asked = Asked::new(learned.revision(), set);
        self.ask(number, format!("c{}", self.asked), asked);
    }

    fn ask(&mut self, number: usize, id: String, asked: Asked) {
        let config = Arc::clone(&self.nodes[number].site.config);
        let kept = self.oracle.asked.entry(id.clone());
        kept.or_insert_with(|| asked.clone()).calls += 1;
        self.answers.spawn(async move {
            let order = Site::change_request("operator", &id, asked.expected);
            let answer = config.apply(&order, &asked.set).await;
            (id, answer)
        });
    }

    /// Asks again for the oldest change of which nothing certain is known.
    fn retry(&mut self, number: usize) {
        let open = self
            .oracle
            .asked
            .iter()
            .find(|(_, asked)| asked.told == Told::Open);
        if let Some((id, asked)) = open {
            let (id, asked) = (id.clone(), asked.clone());
            self.ask(number, id, asked);
        }
    }

    /// Asks for another change by the identity of one that is accepted.
    fn reuse(&mut self, number: usize, edit: Edit) {
        let accepted = |asked: &Asked| matches!(asked.told, Told::Accepted(_));
        let mut known = self.oracle.asked.iter().rev();
        let Some((id, _)) = known.find(|(_, asked)| accepted(asked)) else {
            return;
        };
        let id = id.clone();
        let learned = self.nodes[number].site.config.learned();
        let mut set = learned.to_set();
        self.asked += 1;
        change(&mut set, edit, self.asked);
        let asked = Asked::new(learned.revision(), set);
        self.ask(number, id, asked);
    }

    async fn rollback(&mut self, number: usize, back: u64) {
        let config = Arc::clone(&self.nodes[number].site.config);
        let learned = config.learned();
        let to = learned.revision().saturating_sub(back);
        let Ok(set) = config.declared_at(to).await else {
            return;
        };
        self.asked += 1;
        let asked = Asked::new(learned.revision(), set);
        self.ask(number, format!("c{}", self.asked), asked);
    }

    async fn check(&mut self) -> Result<(), String> {
        while let Some(answer) = self.answers.try_join_next() {
            self.answered(answer)?;
        }
        let operations = oracle::operations(&self.ground.store).await;
        self.oracle.service(&operations)?;
        for (number, node) in self.nodes.iter().enumerate() {
            let status = node.site.config.status();
            self.oracle
                .node(number, node.start, status.revision, status.learned)?;
            let view = node.site.config.learned();
            let written = operations.get(&view.revision());
            let same =
                written.is_none_or(|written| written.view_digest == view.digest().to_bytes());
            if view.revision() > 0 && (written.is_none() || !same) {
                return Err(format!(
                    "node {number} has a revision {} that nobody wrote",
                    view.revision()
                ));
            }
        }
        Ok(())
    }

    fn answered(
        &mut self,
        answer: Result<(String, Result<Accepted, Error>), tokio::task::JoinError>,
    ) -> Result<(), String> {
        let (id, answer) = answer.map_err(|error| format!("an apply ended badly: {error}"))?;
        self.oracle.told(&id, &answer)
    }

    /// Lets everything be well again, and checks that all nodes are equal.
    async fn end(&mut self) -> Result<(), String> {
        self.heal();
        while let Some(answer) = self.answers.join_next().await {
            self.answered(answer)?;
        }
        while self
            .oracle
            .asked
            .values()
            .any(|asked| asked.told == Told::Open)
        {
            self.retry(0);
            while let Some(answer) = self.answers.join_next().await {
                self.answered(answer)?;
            }
        }
        tokio::time::sleep(SETTLE).await;
        self.check().await?;
        let operations = oracle::operations(&self.ground.store).await;
        let newest = operations.keys().last().copied().unwrap_or(0);
        for (number, node) in self.nodes.iter().enumerate() {
            let status = node.site.config.status();
            if status.revision != newest {
                return Err(format!(
                    "node {number} ended with {} in force instead of {newest}: {status:?}",
                    status.revision
                ));
            }
            node.site.end(&self.ground);
        }
        Ok(())
    }
}

/// Makes a change in a set of declarations.
fn change(set: &mut DeclarationSet, edit: Edit, number: u64) {
    match edit {
        Edit::Weight(template) => {
            let weight = u32::try_from(number % 1_000).unwrap_or_default() + 1;
            put(set, template).weight = weight;
        }
        Edit::Version(template) => put(set, template).version = format!("v{number}"),
        Edit::Toggle(template) => {
            let key = key(template);
            if set.templates.remove(&key).is_none() {
                put(set, template);
            }
        }
        Edit::Bulk => {
            let bulk = set.templates.len() > BULK;
            for template in TEMPLATES..TEMPLATES + BULK {
                if bulk {
                    set.templates.remove(&key(template));
                } else {
                    put(set, template);
                }
            }
        }
    }
}

fn key(template: usize) -> (String, String) {
    ("shop".to_owned(), format!("t{template}"))
}

fn put(set: &mut DeclarationSet, template: usize) -> &mut Template {
    let name = format!("t{template}");
    set.templates
        .entry(key(template))
        .or_insert_with(|| Template {
            account: "shop".to_owned(),
            name: name.clone(),
            pool: "llama".to_owned(),
            adapter: name,
            version: "1".to_owned(),
            class: "normal".to_owned(),
            weight: 1,
            ..Template::default()
        })
}
