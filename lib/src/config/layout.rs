//! Where the configuration lies in the key-value service.
//!
//! | key | value | written |
//! | --- | --- | --- |
//! | `config/head` | [`Head`] | by each change, compare-and-swap |
//! | `config/ops/<block>/<revision>` | [`Operation`] | once, in the change's transaction |
//! | `changes/<change id>` | the revision | once, in the change's transaction |
//! | `buckets/<digest>` | [`Bucket`] | before a change that makes a snapshot |
//!
//! A block holds the operations of [`BLOCK_REVISIONS`] revisions, and its first one makes
//! a snapshot, so that a fresh node reads the head, one block and the buckets.
//! docs/design/0005-configuration.md has the sizes.

use prost::Message;
use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::declaration::{DeclarationSet, convert};
use crate::schema::declaration::{Account, Bucket, File, Pool, Template};

#[cfg(doc)]
use crate::schema::declaration::{Head, Operation};

/// Revisions between two snapshots, and in one block of operations.
pub const BLOCK_REVISIONS: u64 = 64;
/// Parts of a snapshot. Three times the target's templates make buckets of about 150 kB.
pub const BUCKET_COUNT: usize = 64;
/// Largest encoded operation that carries its differences, in bytes.
pub const MAX_INLINE_BYTES: usize = 128 * 1024;
/// Largest value that the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Seed of the hash that spreads declarations over buckets. Changing it rewrites all of them.
const BUCKET_SEED: u64 = 0x6275_636b_6574_7331;

/// Keys of one deployment.
#[derive(Debug, Clone)]
pub struct Layout {
    prefix: String,
}

impl Layout {
    /// Makes the keys under a deployment's prefix, which ends in a slash or is empty.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
        }
    }

    /// Returns the prefix of what watchers follow: head and operations.
    #[must_use]
    pub fn watched(&self) -> String {
        format!("{}config/", self.prefix)
    }

    /// Returns the key of the head.
    #[must_use]
    pub fn head(&self) -> String {
        format!("{}config/head", self.prefix)
    }

    /// Returns the key of an operation.
    #[must_use]
    pub fn operation(&self, revision: u64) -> String {
        format!("{}{revision:020}", self.block(revision))
    }

    /// Returns the prefix of the operations of a revision's block.
    #[must_use]
    pub fn block(&self, revision: u64) -> String {
        format!(
            "{}config/ops/{:016}/",
            self.prefix,
            revision / BLOCK_REVISIONS
        )
    }

    /// Returns the prefix of all operations.
    #[must_use]
    pub fn operations(&self) -> String {
        format!("{}config/ops/", self.prefix)
    }

    /// Returns the key that says which revision a change became.
    #[must_use]
    pub fn change(&self, id: &str) -> String {
        format!("{}changes/{id}", self.prefix)
    }

    /// Returns the key of a bucket.
    #[must_use]
    pub fn bucket(&self, digest: &[u8]) -> String {
        format!("{}buckets/{}", self.prefix, convert::hex(digest))
    }
}

/// A bucket as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedBucket {
    /// SHA-256 of the value.
    pub digest: Vec<u8>,
    /// The encoded [`Bucket`].
    pub value: Vec<u8>,
}

/// Cuts a set into its buckets as they are stored. Equal sets give equal bytes.
#[must_use]
pub fn encode_buckets(set: &DeclarationSet) -> Vec<EncodedBucket> {
    partition(set).into_iter().map(encode_bucket).collect()
}

/// Cuts a set into its buckets.
#[must_use]
pub fn partition(set: &DeclarationSet) -> Vec<File> {
    let mut files = vec![File::default(); BUCKET_COUNT];
    for account in set.accounts.values() {
        files[bucket_of_account(account)]
            .accounts
            .push(account.clone());
    }
    for pool in set.pools.values() {
        files[bucket_of_pool(pool)].pools.push(pool.clone());
    }
    for template in set.templates.values() {
        files[bucket_of_template(template)]
            .templates
            .push(template.clone());
    }
    files
}

/// Returns a bucket's digest.
#[must_use]
pub fn digest(value: &[u8]) -> Vec<u8> {
    Sha256::digest(value).to_vec()
}

fn encode_bucket(file: File) -> EncodedBucket {
    let value = Bucket { file: Some(file) }.encode_to_vec();
    EncodedBucket {
        digest: digest(&value),
        value,
    }
}

fn bucket_of_account(account: &Account) -> usize {
    bucket_index(&["a", &account.name])
}

fn bucket_of_pool(pool: &Pool) -> usize {
    bucket_index(&["p", &pool.name])
}

fn bucket_of_template(template: &Template) -> usize {
    bucket_index(&["t", &template.account, &template.name])
}

/// Spreads by the whole name: one account may have most of the templates.
fn bucket_index(parts: &[&str]) -> usize {
    let hash = parts.iter().fold(BUCKET_SEED, |seed, part| {
        xxh3_64_with_seed(part.as_bytes(), seed)
    });
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}
