//! Keys and values of the configuration in the key-value service.
//!
//! | key | value | written |
//! | --- | --- | --- |
//! | `config/head` | [`Head`] | by each change, compare-and-swap |
//! | `config/ops/<block>/<revision>` | [`Operation`] | once, in the change's transaction |
//! | `changes/<change id>` | the revision | once, in the change's transaction |
//! | `buckets/<digest>` | [`Bucket`] | before a change that makes a snapshot |
//!
//! A block holds the operations of [`BLOCK_REVISIONS`] revisions. Its first
//! operation makes a snapshot, so that a new node reads only the head, one block
//! and the buckets. docs/design/0005-configuration.md has the sizes.

use prost::Message;
use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::declaration::{DeclarationSet, convert};
use crate::schema::declaration::{Account, Bucket, File, Pool, Template};

#[cfg(doc)]
use crate::schema::declaration::{Head, Operation};

/// Revisions of a block of operations, and between two snapshots.
pub const BLOCK_REVISIONS: u64 = 64;
/// Number of buckets of a snapshot; three times the target's templates make buckets of about 150 kB.
pub const BUCKET_COUNT: usize = 64;
/// Maximum size of an encoded operation that carries its differences, in bytes.
pub const MAX_INLINE_BYTES: usize = 128 * 1024;
/// Maximum size of a value in the service, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Seed of the hash that assigns declarations to buckets; changing it rewrites every bucket.
const BUCKET_SEED: u64 = 0x6275_636b_6574_7331;

/// Keys of a deployment.
#[derive(Debug, Clone)]
pub struct Layout {
    prefix: String,
}

impl Layout {
    /// Uses the keys under a deployment's prefix, which ends in a slash or is empty.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: prefix.to_owned(),
        }
    }

    /// Returns the prefix that is watched: the head and the operations.
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

    /// Returns the key that holds the revision of a change.
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

/// Partitions a set into encoded buckets; equal sets give equal bytes.
#[must_use]
pub fn encode_buckets(set: &DeclarationSet) -> Vec<EncodedBucket> {
    partition(set).into_iter().map(encode_bucket).collect()
}

/// Partitions a set into buckets.
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

/// Returns the digest of an encoded bucket.
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

/// Hashes the whole name, because one account may own most of the templates.
fn bucket_index(name: &[&str]) -> usize {
    let hash = name.iter().fold(BUCKET_SEED, |seed, part| {
        xxh3_64_with_seed(part.as_bytes(), seed)
    });
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or_default()
}
