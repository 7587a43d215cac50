//! One revision of the configuration, immutable.
//!
//! A request takes the view once and is decided on it from start to end, so
//! that a change under way never mixes two revisions in one request.

use std::collections::HashMap;
use std::sync::Arc;

use subtle::ConstantTimeEq;

use crate::declaration::{Account, Pool, Template};
use crate::name::Name;

/// All declarations of one revision.
#[derive(Debug, Clone, Default)]
pub struct View {
    revision: u64,
    accounts: HashMap<Name, Arc<Account>>,
    by_digest: HashMap<[u8; 32], Arc<Account>>,
    pools: HashMap<Name, Arc<Pool>>,
    templates: HashMap<Name, HashMap<Name, Arc<Template>>>,
}

impl View {
    /// Makes the view of a revision; revision 0 is the empty one before any change.
    #[must_use]
    pub fn new(
        revision: u64,
        accounts: Vec<Account>,
        pools: Vec<Pool>,
        templates: Vec<Template>,
    ) -> Self {
        let mut view = Self {
            revision,
            ..Self::default()
        };
        for account in accounts {
            let account = Arc::new(account);
            for digest in &account.key_digests {
                view.by_digest.insert(*digest, Arc::clone(&account));
            }
            view.accounts.insert(Arc::clone(&account.name), account);
        }
        for pool in pools {
            view.pools.insert(Arc::clone(&pool.name), Arc::new(pool));
        }
        for template in templates {
            view.templates
                .entry(Arc::clone(&template.account))
                .or_default()
                .insert(Arc::clone(&template.name), Arc::new(template));
        }
        view
    }

    /// Returns the revision; it only rises at a node.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Finds the client account of a key's digest.
    #[must_use]
    pub fn account_of_digest(&self, digest: &[u8; 32]) -> Option<&Arc<Account>> {
        // The table's own comparison stops at the first different byte; it only
        // ever sees digests, and the answer rests on the comparison below.
        let account = self.by_digest.get(digest)?;
        let known = account
            .key_digests
            .iter()
            .any(|kept| bool::from(kept.ct_eq(digest)));
        known.then_some(account)
    }

    /// Finds a template of a client account.
    #[must_use]
    pub fn template(&self, account: &str, name: &str) -> Option<&Arc<Template>> {
        self.templates.get(account)?.get(name)
    }

    /// Lists a client account's templates, in no order.
    pub fn templates_of(&self, account: &str) -> impl Iterator<Item = &Arc<Template>> {
        self.templates
            .get(account)
            .into_iter()
            .flat_map(HashMap::values)
    }

    /// Lists all templates, in no order.
    pub fn templates(&self) -> impl Iterator<Item = &Arc<Template>> {
        self.templates.values().flat_map(HashMap::values)
    }

    /// Finds a pool.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// Lists all pools, in no order.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Finds a client account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Lists all client accounts, in no order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.values()
    }
}
