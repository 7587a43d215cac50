//! Incremental digest of all declarations of a revision.
//!
//! The digest is the lane-wise sum of the declarations' SHA-256 hashes, so the
//! cost of an update depends on the size of the change. Addition and subtraction
//! commute: a node that applied operations one by one and a node that read a
//! snapshot have the same digest exactly when they have the same declarations.
//! It detects faults and versions that decode a message differently. It doesn't
//! protect against forgery: whoever writes revisions is authenticated.

use prost::Message;
use sha2::{Digest as _, Sha256};

use crate::schema::declaration::difference::{After, Before};
use crate::schema::declaration::{Account, Difference, Pool, Template};

/// 64-bit lanes of a digest.
const LANES: usize = 4;

/// Order-independent digest of a set of declarations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Digest([u64; LANES]);

/// Kind of a declaration; it is hashed too, so that equal bytes of two kinds differ.
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

    /// Updates the digest for a difference.
    pub fn apply_difference(&mut self, difference: &Difference) {
        match &difference.before {
            Some(Before::AccountBefore(old)) => {
                self.subtract(&hash_lanes(DeclarationKind::Account, old));
            }
            Some(Before::PoolBefore(old)) => self.subtract(&hash_lanes(DeclarationKind::Pool, old)),
            Some(Before::TemplateBefore(old)) => {
                self.subtract(&hash_lanes(DeclarationKind::Template, old));
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

    /// Returns the digest as messages carry it.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.0.iter().flat_map(|lane| lane.to_be_bytes()).collect()
    }

    fn add(&mut self, lanes: &[u64; LANES]) {
        for (sum, lane) in self.0.iter_mut().zip(lanes) {
            *sum = sum.wrapping_add(*lane);
        }
    }

    fn subtract(&mut self, lanes: &[u64; LANES]) {
        for (sum, lane) in self.0.iter_mut().zip(lanes) {
            *sum = sum.wrapping_sub(*lane);
        }
    }
}

fn hash_lanes(kind: DeclarationKind, message: &impl Message) -> [u64; LANES] {
    let hash = Sha256::new()
        .chain_update([kind as u8])
        .chain_update(message.encode_to_vec())
        .finalize();
    let mut lanes = [0; LANES];
    for (lane, bytes) in lanes.iter_mut().zip(hash.chunks_exact(8)) {
        let mut word = [0; 8];
        word.copy_from_slice(bytes);
        *lane = u64::from_be_bytes(word);
    }
    lanes
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
