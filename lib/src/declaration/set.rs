//! All declarations of one revision in canonical form.
//!
//! Equivalent sets are equal byte by byte: defaults are explicit, lists are
//! sorted and digests have one spelling. Differences and digests depend on this.

use std::collections::BTreeMap;

use crate::schema::declaration::{Account, File, Pool, Template};

/// Key of a template: client account and name.
pub type TemplateKey = (String, String);

/// All declarations, by name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DeclarationSet {
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Templates by client account and name.
    pub templates: BTreeMap<TemplateKey, Template>,
}

impl DeclarationSet {
    /// Inserts declarations in canonical form, replacing those with the same name.
    pub fn extend(&mut self, file: File) {
        for account in file.accounts {
            self.accounts.insert(account.name.clone(), account);
        }
        for pool in file.pools {
            self.pools.insert(pool.name.clone(), pool);
        }
        for template in file.templates {
            let key = (template.account.clone(), template.name.clone());
            self.templates.insert(key, template);
        }
    }

    /// Returns the number of declarations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len() + self.pools.len() + self.templates.len()
    }

    /// Whether the set has no declarations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<File> for DeclarationSet {
    fn from(file: File) -> Self {
        let mut set = Self::default();
        set.extend(file);
        set
    }
}
