//! What must hold, told by a log of accepted revisions.
//!
//! The oracle looks past all faults: it reads the service's newest data
//! directly, and what nodes and operators were told is held against it.

use std::collections::BTreeMap;

use chivevalve::config::layout::Layout;
use chivevalve::config::{Accepted, Error};
use chivevalve::declaration::DeclarationSet;
use chivevalve::ports::Store as _;
use chivevalve::schema::declaration::Operation;
use chivevalve_standins::store::Store;
use prost::Message;

/// What an operator was told last of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// Nothing yet, or nothing certain.
    Open,
    /// It is accepted as this revision.
    Accepted(u64),
    /// It is certainly not accepted.
    Rejected,
    /// Nothing differed.
    Unchanged,
}

/// A change that an operator asked for.
#[derive(Debug, Clone)]
pub struct Asked {
    pub expected: u64,
    pub set: DeclarationSet,
    pub told: Told,
    /// How often it was asked for, with one identity.
    pub calls: u32,
}

impl Asked {
    /// Makes a change that is to be asked for, on top of the revision that is expected.
    pub fn new(expected: u64, set: DeclarationSet) -> Self {
        Self {
            expected,
            set,
            told: Told::Open,
            calls: 0,
        }
    }
}

/// What is known of all changes and nodes.
#[derive(Debug, Default)]
pub struct Oracle {
    pub asked: BTreeMap<String, Asked>,
    /// Newest revision in force and learned, for each start of a node.
    seen: BTreeMap<(usize, u64), (u64, u64)>,
}

impl Oracle {
    /// Takes an operator's answer.
    pub fn told(&mut self, id: &str, answer: &Result<Accepted, Error>) -> Result<(), String> {
        let Some(asked) = self.asked.get_mut(id) else {
            return Err(format!("{id} was never asked for"));
        };
        let before = asked.told;
        let now = match answer {
            Ok(accepted) if accepted.differences == 0 && !accepted.already => Told::Unchanged,
            Ok(accepted) => Told::Accepted(accepted.revision),
            Err(error) if error.is_permanently_rejected() => Told::Rejected,
            // The only call so far wrote nothing, so nothing is written.
            Err(error) if error.wrote_nothing() && asked.calls == 1 => Told::Rejected,
            Err(_) => Told::Open,
        };
        match (before, now) {
            (Told::Accepted(first), Told::Accepted(second)) if first != second => {
                Err(format!("{id} was accepted as {first} and as {second}"))
            }
            (Told::Accepted(first), Told::Rejected) => Err(format!(
                "{id} was accepted as {first} and then rejected: {answer:?}"
            )),
            (Told::Accepted(_), _) => Ok(()),
            _ => {
                asked.told = now;
                Ok(())
            }
        }
    }

    /// Checks one node's revisions; they never go back while it runs.
    pub fn node(
        &mut self,
        node: usize,
        start: u64,
        in_force: u64,
        learned: u64,
    ) -> Result<(), String> {
        let seen = self.seen.entry((node, start)).or_default();
        if in_force < seen.0 || learned < seen.1 {
            return Err(format!(
                "node {node} went from {seen:?} back to {:?}",
                (in_force, learned)
            ));
        }
        if in_force > learned {
            return Err(format!(
                "node {node} has {in_force} in force but learned {learned}"
            ));
        }
        *seen = (in_force, learned);
        Ok(())
    }

    /// Checks what operators were told against what the service holds.
    pub fn service(&self, operations: &BTreeMap<u64, Operation>) -> Result<(), String> {
        let mut by_id: BTreeMap<&str, u64> = BTreeMap::new();
        for (index, (revision, operation)) in operations.iter().enumerate() {
            if *revision != index as u64 + 1 {
                return Err(format!("revision {revision} follows a hole"));
            }
            if let Some(first) = by_id.insert(&operation.change_id, *revision) {
                let id = &operation.change_id;
                return Err(format!("{id} was applied twice, as {first} and {revision}"));
            }
        }
        for (id, asked) in &self.asked {
            let held = by_id.get(id.as_str()).copied();
            match asked.told {
                Told::Accepted(revision) if held != Some(revision) => {
                    return Err(format!(
                        "{id} was accepted as {revision}, but the service has {held:?}"
                    ));
                }
                Told::Rejected | Told::Unchanged if held.is_some() => {
                    return Err(format!(
                        "{id} was called {:?}, but the service has {held:?}",
                        asked.told
                    ));
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// Reads all operations that the service holds, past all faults.
pub async fn operations(store: &Store) -> BTreeMap<u64, Operation> {
    let knobs = store.knobs();
    store.set(chivevalve_standins::store::Knobs::default());
    let listing = store.list(&Layout::new("").operations()).await;
    store.set(knobs);
    listing
        .unwrap_or_default()
        .entries
        .iter()
        .filter_map(|entry| Operation::decode(entry.value.clone()).ok())
        .map(|operation| (operation.revision, operation))
        .collect()
}
