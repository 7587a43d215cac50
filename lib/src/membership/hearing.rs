//! When this node last heard of others, for routing exchanges and for operators.
//!
//! Nothing of ownership rests on it: ages pass through other nodes and may be
//! too young by the time that messages took.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::name::Name;
use crate::schema::peer;

/// Nodes whose ages go into one message; the next message goes on from there.
const TOLD: usize = 24;
/// After this time a silent node is forgotten.
const FORGOTTEN: Millis = Millis::from_secs(600);

/// What was heard of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Word {
    /// Which start of the node.
    pub incarnation: u64,
    /// When it was alive, at the latest news.
    pub at: Millis,
    /// Whether it is stopping.
    pub draining: bool,
}

/// When each node was last heard of, by this node or by one that told it.
#[derive(Debug, Default)]
pub struct Hearing {
    words: BTreeMap<Name, Word>,
    told_up_to: Option<Name>,
}

impl Hearing {
    /// Takes news of a node.
    pub fn heard(&mut self, node: &str, word: Word) {
        if self
            .words
            .get(node)
            .is_some_and(|known| known.at >= word.at)
        {
            return;
        }
        self.words.insert(Name::from(node), word);
    }

    /// Returns the last news of a node.
    #[must_use]
    pub fn of(&self, node: &str) -> Option<Word> {
        self.words.get(node).copied()
    }

    /// Picks the nodes to tell of, in turns.
    pub fn tell(&mut self, now: Millis) -> Vec<peer::Heard> {
        self.words.retain(|_, word| now.since(word.at) < FORGOTTEN);
        let from = self.told_up_to.clone();
        let after = self
            .words
            .iter()
            .filter(|(name, _)| Some(*name) > from.as_ref());
        let told: Vec<(&Name, &Word)> = after.take(TOLD).collect();
        self.told_up_to = if told.len() < TOLD {
            None
        } else {
            told.last().map(|(name, _)| (*name).clone())
        };
        told.into_iter()
            .map(|(name, word)| peer::Heard {
                node: name.to_string(),
                incarnation: word.incarnation,
                age_ms: u32::try_from(now.since(word.at).0).unwrap_or(u32::MAX),
                draining: word.draining,
            })
            .collect()
    }
}
