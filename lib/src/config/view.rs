//! Immutable view of one revision of the configuration.
//!
//! A request takes the view once and uses it from start to end, so that a
//! concurrent change never mixes two revisions in one request.

use std::collections::HashMap;
use std::sync::Arc;

use subtle::ConstantTimeEq;
use thiserror::Error;

use super::digest::Digest;
use crate::declaration::convert::{self, DecodeError};
use crate::declaration::{Account, DeclarationSet, Pool, Template};
use crate::name::Name;
use crate::schema::declaration as schema;
use crate::schema::declaration::difference::{After, Before};

/// A client account's templates by name.
type Templates = HashMap<Name, Arc<Template>>;

/// All declarations of one revision.
///
/// A later revision shares unchanged declarations with the earlier one, so that
/// applying a change doesn't copy every declaration.
#[derive(Debug, Clone, Default)]
pub struct View {
    revision: u64,
    digest: Digest,
    accounts: HashMap<Name, Arc<Account>>,
    by_key_digest: HashMap<[u8; 32], Arc<Account>>,
    pools: HashMap<Name, Arc<Pool>>,
    templates: HashMap<Name, Arc<Templates>>,
}

/// Why differences can't be applied to a view.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// This version can't decode a declaration.
    #[error(transparent)]
    Unreadable(#[from] DecodeError),
    /// The differences are based on other declarations than this view's.
    #[error("{0} isn't what the change starts from")]
    BaseMismatch(String),
    /// The digest isn't the writer's: the data is damaged, or has a field that this version doesn't know.
    #[error("the result differs from its writer's; a newer version may have written it")]
    DigestMismatch,
}

impl View {
    /// Creates the view of a revision; revision 0 is the empty one before any change.
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
            view.digest.add_account(&convert::account_message(&account));
            view.insert_account(account);
        }
        for pool in pools {
            view.digest.add_pool(&convert::pool_message(&pool));
            view.insert_pool(pool);
        }
        for template in templates {
            view.digest
                .add_template(&convert::template_message(&template));
            view.insert_template(template);
        }
        view
    }

    /// Creates the view of a revision from declarations in canonical form.
    ///
    /// # Errors
    ///
    /// When a declaration can't be decoded.
    pub fn from_set(revision: u64, set: &DeclarationSet) -> Result<Self, Error> {
        let mut view = Self {
            revision,
            ..Self::default()
        };
        for message in set.accounts.values() {
            view.digest.add_account(message);
            view.insert_account(convert::account(message)?);
        }
        for message in set.pools.values() {
            view.digest.add_pool(message);
            view.insert_pool(convert::pool(message)?);
        }
        for message in set.templates.values() {
            view.digest.add_template(message);
            let template = convert::template(message, view.pools.get(message.pool.as_str()))?;
            view.insert_template(template);
        }
        Ok(view)
    }

    /// Returns all declarations in canonical form.
    #[must_use]
    pub fn to_set(&self) -> DeclarationSet {
        let mut set = DeclarationSet::default();
        set.extend(schema::File {
            accounts: self
                .accounts()
                .map(|account| convert::account_message(account))
                .collect(),
            pools: self
                .pools()
                .map(|pool| convert::pool_message(pool))
                .collect(),
            templates: self
                .templates()
                .map(|template| convert::template_message(template))
                .collect(),
        });
        set
    }

    /// Returns the view of `revision`, which results from applying differences to this view.
    ///
    /// # Errors
    ///
    /// When the differences aren't based on this view, or can't be decoded.
    pub fn apply_differences(
        &self,
        revision: u64,
        differences: &[schema::Difference],
    ) -> Result<Self, Error> {
        let mut next = self.clone();
        next.revision = revision;
        for difference in differences {
            self.check_base(difference)?;
            next.digest.apply_difference(difference);
        }
        // Remove everything first: a key that moves between accounts would otherwise
        // be removed after it was inserted for its new account.
        for old in differences.iter().filter_map(|d| d.before.as_ref()) {
            next.remove(old);
        }
        // Insert pools before the templates, which are decoded with their pool.
        let after = || differences.iter().filter_map(|d| d.after.as_ref());
        for new in after() {
            if let After::PoolAfter(pool) = new {
                next.insert_pool(convert::pool(pool)?);
            }
        }
        for new in after() {
            match new {
                After::AccountAfter(account) => next.insert_account(convert::account(account)?),
                After::TemplateAfter(template) => {
                    let pool = next.pools.get(template.pool.as_str());
                    next.insert_template(convert::template(template, pool)?);
                }
                After::PoolAfter(_) => {}
            }
        }
        for difference in differences {
            if let (Some(Before::PoolBefore(old)), Some(After::PoolAfter(new))) =
                (&difference.before, &difference.after)
                && (&old.kind, &old.base_model) != (&new.kind, &new.base_model)
            {
                next.rebuild_templates(&new.name)?;
            }
        }
        Ok(next)
    }

    /// Returns the revision; on a node it only increases.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the digest of all declarations.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the client account with this key digest.
    #[must_use]
    pub fn account_by_key_digest(&self, digest: &[u8; 32]) -> Option<&Arc<Account>> {
        // The map's comparison isn't constant-time, but it compares only digests;
        // the result depends on the constant-time comparison below.
        let account = self.by_key_digest.get(digest)?;
        let known = account
            .key_digests
            .iter()
            .any(|kept| bool::from(kept.ct_eq(digest)));
        known.then_some(account)
    }

    /// Returns a template of a client account.
    #[must_use]
    pub fn template(&self, account: &str, name: &str) -> Option<&Arc<Template>> {
        self.templates.get(account)?.get(name)
    }

    /// Iterates over a client account's templates, in no particular order.
    pub fn templates_of(&self, account: &str) -> impl Iterator<Item = &Arc<Template>> {
        self.templates
            .get(account)
            .into_iter()
            .flat_map(|templates| templates.values())
    }

    /// Iterates over all templates, in no particular order.
    pub fn templates(&self) -> impl Iterator<Item = &Arc<Template>> {
        self.templates
            .values()
            .flat_map(|templates| templates.values())
    }

    /// Returns a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Arc<Pool>> {
        self.pools.get(name)
    }

    /// Iterates over all pools, in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> {
        self.pools.values()
    }

    /// Returns a client account by name.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Iterates over all client accounts, in no particular order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.values()
    }

    fn insert_account(&mut self, account: Account) {
        let account = Arc::new(account);
        for digest in &account.key_digests {
            self.by_key_digest.insert(*digest, Arc::clone(&account));
        }
        self.accounts.insert(Arc::clone(&account.name), account);
    }

    /// Checks that a difference is based on this view's declarations.
    fn check_base(&self, difference: &schema::Difference) -> Result<(), Error> {
        let matches = match (&difference.before, &difference.after) {
            (Some(Before::AccountBefore(old)), _) => {
                self.account(&old.name)
                    .map(|a| convert::account_message(a))
                    .as_ref()
                    == Some(old)
            }
            (Some(Before::PoolBefore(old)), _) => {
                self.pool(&old.name)
                    .map(|p| convert::pool_message(p))
                    .as_ref()
                    == Some(old)
            }
            (Some(Before::TemplateBefore(old)), _) => {
                let held = self.template(&old.account, &old.name);
                held.map(|t| convert::template_message(t)).as_ref() == Some(old)
            }
            (None, Some(After::AccountAfter(new))) => self.account(&new.name).is_none(),
            (None, Some(After::PoolAfter(new))) => self.pool(&new.name).is_none(),
            (None, Some(After::TemplateAfter(new))) => {
                self.template(&new.account, &new.name).is_none()
            }
            (None, None) => false,
        };
        if matches {
            return Ok(());
        }
        Err(Error::BaseMismatch(describe(difference)))
    }

    fn remove(&mut self, old: &Before) {
        match old {
            Before::AccountBefore(account) => self.remove_account(&account.name),
            Before::PoolBefore(pool) => drop(self.pools.remove(pool.name.as_str())),
            Before::TemplateBefore(template) => {
                self.remove_template(&template.account, &template.name);
            }
        }
    }

    /// Decodes a pool's templates again, because its base model is part of their adapters.
    fn rebuild_templates(&mut self, pool: &str) -> Result<(), Error> {
        let pool = self.pools.get(pool).cloned();
        let of_pool: Vec<schema::Template> = self
            .templates()
            .filter(|template| Some(&template.pool) == pool.as_ref().map(|pool| &pool.name))
            .map(|template| convert::template_message(template))
            .collect();
        for message in of_pool {
            self.insert_template(convert::template(&message, pool.as_ref())?);
        }
        Ok(())
    }

    fn remove_account(&mut self, name: &str) {
        let Some(account) = self.accounts.remove(name) else {
            return;
        };
        for digest in &account.key_digests {
            self.by_key_digest.remove(digest);
        }
    }

    fn insert_pool(&mut self, pool: Pool) {
        self.pools.insert(Arc::clone(&pool.name), Arc::new(pool));
    }

    fn insert_template(&mut self, template: Template) {
        let templates = self
            .templates
            .entry(Arc::clone(&template.account))
            .or_default();
        Arc::make_mut(templates).insert(Arc::clone(&template.name), Arc::new(template));
    }

    fn remove_template(&mut self, account: &str, name: &str) {
        let Some(templates) = self.templates.get_mut(account) else {
            return;
        };
        let templates = Arc::make_mut(templates);
        templates.remove(name);
        if templates.is_empty() {
            self.templates.remove(account);
        }
    }
}

/// Names the declaration that a difference changes, for error messages.
fn describe(difference: &schema::Difference) -> String {
    match (&difference.before, &difference.after) {
        (Some(Before::AccountBefore(a)), _) | (None, Some(After::AccountAfter(a))) => {
            format!("account {}", a.name)
        }
        (Some(Before::PoolBefore(p)), _) | (None, Some(After::PoolAfter(p))) => {
            format!("pool {}", p.name)
        }
        (Some(Before::TemplateBefore(t)), _) | (None, Some(After::TemplateAfter(t))) => {
            format!("template {}/{}", t.account, t.name)
        }
        (None, None) => "an empty difference".to_owned(),
    }
}
