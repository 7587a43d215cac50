//! A digest of a whole revision that a change moves at the cost of the change.
//!
//! Each declaration's SHA-256 is added up, lane by lane. Adding and taking away
//! commute, so a node that applied operations one by one and a node that read a
//! snapshot have the same digest exactly when they have the same declarations.
//! It guards against faults and against versions that read a message
//! differently, not against a forger: whoever writes revisions is authenticated.

use prost::Message;
use sha2::{Digest as _, Sha256};

use crate::schema::declaration::difference::{After, Before};
use crate::schema::declaration::{Account, Difference, Pool, Template};

/// How many 64-bit lanes a digest has.
const LANES: usize = 4;

/// Digest of a set of declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Digest([u64; LANES]);

/// What kind of declaration is added, so that equal bytes of two kinds differ.
#[derive(Debug, Clone, Copy)]
enum DeclarationKind {
    Account = 1,
    Pool = 2,
    Template = 3,
}

impl Digest {
    /// Adds an account.
    pub fn add_account(&mut self, account: &Account) {
        self.add(&hash_lanes(DeclarationKind::Account, account));
    }

    /// Adds a pool.
    pub fn add_pool(&mut self, pool: &Pool) {
        self.add(&hash_lanes(DeclarationKind::Pool, pool));
    }

    /// Adds a template.
    pub fn add_template(&mut self, template: &Template) {
        self.add(&hash_lanes(DeclarationKind::Template, template));
    }

    /// Moves the digest over a difference.
    pub fn apply_difference(&mut self, difference: &Difference) {
        match &difference.before {
            Some(Before::AccountBefore(old)) => {
                self.subtract(&hash_lanes(DeclarationKind::Account, old))
            }
            Some(Before::PoolBefore(old)) => self.subtract(&hash_lanes(DeclarationKind::Pool, old)),
            Some(Before::TemplateBefore(old)) => {
                self.subtract(&hash_lanes(DeclarationKind::Template, old))
            }
            None => {}
        }
        match &difference.after {
            Some(After::AccountAfter(new)) => self.add_account(new),
            Some(After::PoolAfter(new)) => self.add_pool(new),
            Some(After::TemplateAfter(new)) => self.add_template(new),
            None => {}
        }
    }

    /// Returns the bytes that messages carry.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|lane| lane.to_be_bytes()).collect()
    }

    fn add(&mut self, hash_lanes: &[u64; LANES]) {
        for (sum, lane) in self.0.iter_mut().zip(hash_lanes) {
            *sum = sum.wrapping_add(*lane);
        }
    }

    fn subtract(&mut self, hash_lanes: &[u64; LANES]) {
        for (sum, lane) in self.0.iter_mut().zip(hash_lanes) {
            *sum = sum.wrapping_sub(*lane);
        }
    }
}

fn hash_lanes(kind: DeclarationKind, message: &impl Message) -> [u64; LANES] {
    let hash = Sha256::new()
        .chain_update([kind as u8])
        .chain_update(message.encode_to_vec())
        .finalize();
    let mut hash_lanes = [0; LANES];
    for (lane, bytes) in hash_lanes.iter_mut().zip(hash.chunks_exact(8)) {
        let mut word = [0; 8];
        word.copy_from_slice(bytes);
        *lane = u64::from_be_bytes(word);
    }
    hash_lanes
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pool(name: &str) -> Pool {
        Pool {
            name: name.into(),
            ..Pool::default()
        }
    }

    #[test]
    fn digest_order_doesnt_matter() {
        let mut a = Digest::default();
        a.add_pool(&pool("x"));
        a.add_pool(&pool("y"));
        let mut b = Digest::default();
        b.add_pool(&pool("y"));
        b.apply_difference(&Difference {
            before: Some(Before::PoolBefore(pool("y"))),
            after: Some(After::PoolAfter(pool("x"))),
        });
        b.add_pool(&pool("y"));
        assert_eq!(a, b);
        b.add_pool(&pool("y"));
        assert_ne!(a, b);
    }
}
