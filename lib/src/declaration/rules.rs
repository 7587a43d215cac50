//! Rules that the declarations of a directory must satisfy together.

use std::collections::{HashMap, HashSet};

use super::convert;
use super::mistake::{Mistake, Place};
use super::nearest::nearest;
use super::read::{Located, RawDeclarations};
use super::set::DeclarationSet;
use crate::request::Class;
use crate::schema::declaration::{Account, Pool, Template};

/// Maximum length of a name, in characters.
pub const MAX_NAME_CHARS: usize = 128;
/// Maximum number of keys of a client account.
pub const MAX_KEYS: usize = 32;
/// Maximum weight.
pub const MAX_WEIGHT: u32 = 1_000;
/// Maximum number of adapter slots of an engine.
pub const MAX_SLOTS: u32 = 4_096;
/// Maximum number of concurrent requests on an upstream.
pub const MAX_BATCH: u32 = 65_536;
/// Maximum deadline: one day, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;
/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum output tokens of a request.
pub const MAX_OUTPUT_TOKENS: u32 = 10_000_000;
/// Maximum number of client accounts.
pub const MAX_ACCOUNTS: usize = 20_000;
/// Maximum number of pools.
pub const MAX_POOLS: usize = 1_000;
/// Maximum number of templates: three times the target's adapters, with a margin.
pub const MAX_TEMPLATES: usize = 100_000;

const KINDS: [&str; 2] = ["engine", "service"];
const CLASSES: [&str; 3] = [
    Class::Urgent.name(),
    Class::Normal.name(),
    Class::Bulk.name(),
];

/// Checks all declarations together and returns the valid ones in canonical form.
pub(super) fn check(
    raw: &RawDeclarations,
    directory: &Place,
    mistakes: &mut Vec<Mistake>,
) -> DeclarationSet {
    let mut checker = Checker {
        mistakes,
        set: DeclarationSet::default(),
    };
    checker.check_counts(raw, directory);
    checker.check_pools(&raw.pools);
    checker.check_accounts(&raw.accounts);
    checker.check_templates(raw);
    checker.set
}

struct Checker<'a> {
    mistakes: &'a mut Vec<Mistake>,
    set: DeclarationSet,
}

impl Checker<'_> {
    fn report(&mut self, place: &Place, what: impl Into<String>, hint: impl Into<String>) {
        self.mistakes.push(Mistake::new(place, what, hint));
    }

    fn check_counts(&mut self, raw: &RawDeclarations, directory: &Place) {
        for (kind, count, max) in [
            ("accounts", raw.accounts.len(), MAX_ACCOUNTS),
            ("pools", raw.pools.len(), MAX_POOLS),
            ("templates", raw.templates.len(), MAX_TEMPLATES),
        ] {
            if count > max {
                self.report(
                    directory,
                    format!("there are {count} {kind}"),
                    format!("declare at most {max}"),
                );
            }
        }
    }

    fn check_pools(&mut self, pools: &[Located<Pool>]) {
        let mut seen = HashMap::new();
        for pool in pools {
            let value = &pool.value;
            let named = self.check_name(pool, "name", &value.name);
            if named && !self.check_unique(&mut seen, &value.name, "pool", pool.field("name")) {
                continue;
            }
            if self.check_pool(pool)
                && named
                && let Ok(read) = convert::pool(value)
            {
                let message = convert::pool_message(&read);
                self.set.pools.insert(message.name.clone(), message);
            }
        }
    }

    fn check_pool(&mut self, pool: &Located<Pool>) -> bool {
        let before = self.mistakes.len();
        let value = &pool.value;
        self.check_choice(pool, "kind", &value.kind, &KINDS);
        self.check_range(pool, "batch", value.batch.into(), 1, MAX_BATCH.into());
        if value.kind == "engine" {
            self.check_name(pool, "base_model", &value.base_model);
            self.check_range(pool, "slots", value.slots.into(), 1, MAX_SLOTS.into());
        }
        if value.kind == "service" {
            for field in ["base_model", "slots"] {
                if pool.has(field) {
                    self.report(
                        pool.field(field),
                        format!("{field} is set for a pool of plain services"),
                        "leave it out, or write kind: engine",
                    );
                }
            }
        }
        self.mistakes.len() == before
    }

    fn check_accounts(&mut self, accounts: &[Located<Account>]) {
        let mut seen = HashMap::new();
        let mut keys: HashMap<[u8; 32], &str> = HashMap::new();
        for account in accounts {
            let value = &account.value;
            let named = self.check_name(account, "name", &value.name);
            if named && !self.check_unique(&mut seen, &value.name, "account", account.field("name"))
            {
                continue;
            }
            self.check_range(account, "weight", value.weight.into(), 0, MAX_WEIGHT.into());
            self.check_key_digests(account, &mut keys);
            if named && let Ok(read) = convert::account(value) {
                let message = convert::account_message(&read);
                self.set.accounts.insert(message.name.clone(), message);
            }
        }
    }

    fn check_key_digests<'a>(
        &mut self,
        account: &'a Located<Account>,
        keys: &mut HashMap<[u8; 32], &'a str>,
    ) {
        let value = &account.value;
        let place = account.field("key_digests");
        if value.key_digests.len() > MAX_KEYS {
            self.report(
                place,
                format!("{} key digests are listed", value.key_digests.len()),
                format!("keep at most {MAX_KEYS}; remove keys that aren't used any more"),
            );
        }
        for (index, text) in value.key_digests.iter().enumerate() {
            let number = index + 1;
            let Some(digest) = convert::digest(text) else {
                // The text isn't printed: it may be the key itself.
                self.report(
                    place,
                    format!("key digest {number} isn't a SHA-256 digest"),
                    "give 64 hexadecimal digits, as chivevalve digest prints them; never the key",
                );
                continue;
            };
            match keys.insert(digest, &value.name) {
                Some(other) if other == value.name => self.report(
                    place,
                    format!("key digest {number} stands twice"),
                    "keep one of them",
                ),
                Some(other) => self.report(
                    place,
                    format!("key digest {number} also belongs to account {other}"),
                    "give each account keys of its own",
                ),
                None => {}
            }
        }
    }

    fn check_templates(&mut self, raw: &RawDeclarations) {
        let mut seen = HashMap::new();
        let accounts: HashSet<&str> = raw
            .accounts
            .iter()
            .map(|account| account.value.name.as_str())
            .collect();
        let pools: HashMap<&str, &Pool> = raw
            .pools
            .iter()
            .map(|pool| (pool.value.name.as_str(), &pool.value))
            .collect();
        let pool_names: HashSet<&str> = pools.keys().copied().collect();
        for template in &raw.templates {
            let value = &template.value;
            let owned = self.check_reference(template, "account", &value.account, &accounts);
            let named = self.check_name(template, "name", &value.name);
            let full = format!("{}/{}", value.account, value.name);
            if owned
                && named
                && !self.check_unique(&mut seen, &full, "template", template.field("name"))
            {
                continue;
            }
            if self.check_reference(template, "pool", &value.pool, &pool_names) {
                self.check_adapter(template, pools[value.pool.as_str()]);
            }
            self.check_template(template);
            self.insert_template(value, owned && named);
        }
    }

    fn insert_template(&mut self, value: &Template, named: bool) {
        let pool = self.set.pools.get(&value.pool);
        let Some(pool) = pool.and_then(|pool| convert::pool(pool).ok()) else {
            return;
        };
        if named && let Ok(read) = convert::template(value, Some(&pool.into())) {
            let message = convert::template_message(&read);
            let key = (message.account.clone(), message.name.clone());
            self.set.templates.insert(key, message);
        }
    }

    fn check_template(&mut self, template: &Located<Template>) {
        let value = &template.value;
        if template.has("class") {
            self.check_choice(template, "class", &value.class, &CLASSES);
        }
        self.check_range(
            template,
            "weight",
            value.weight.into(),
            0,
            MAX_WEIGHT.into(),
        );
        self.check_range(
            template,
            "deadline_ms",
            value.deadline_ms,
            0,
            MAX_DEADLINE_MS,
        );
        self.check_range(
            template,
            "max_body_bytes",
            value.max_body_bytes,
            0,
            MAX_BODY_BYTES,
        );
        self.check_range(
            template,
            "max_output_tokens",
            value.max_output_tokens.into(),
            0,
            MAX_OUTPUT_TOKENS.into(),
        );
    }

    fn check_adapter(&mut self, template: &Located<Template>, pool: &Pool) {
        let value = &template.value;
        if pool.kind == "service" {
            for field in ["adapter", "version", "max_output_tokens"] {
                if template.has(field) {
                    self.report(
                        template.field(field),
                        format!(
                            "{field} is set, but pool {} holds plain services",
                            pool.name
                        ),
                        "leave it out, or name a pool of engines",
                    );
                }
            }
            return;
        }
        if value.adapter.is_empty() {
            self.report(
                template.field("adapter"),
                format!("pool {} holds engines, but no adapter is named", pool.name),
                "add adapter: and version:",
            );
        } else {
            self.check_name(template, "adapter", &value.adapter);
        }
        if !value.version.is_empty() {
            self.check_name(template, "version", &value.version);
        } else if !value.adapter.is_empty() {
            self.report(
                template.field("version"),
                format!("adapter {} is named without a version", value.adapter),
                "add version:; each template names the exact version that it runs on",
            );
        }
    }

    /// Checks a name's characters and length.
    fn check_name<T>(&mut self, located: &Located<T>, field: &str, name: &str) -> bool {
        let place = located.field(field);
        if name.is_empty() {
            self.report(
                place,
                format!("{field} is missing"),
                format!("add {field}:"),
            );
            return false;
        }
        if name.chars().count() > MAX_NAME_CHARS {
            self.report(
                place,
                format!("{field} has {} characters", name.chars().count()),
                format!("keep it within {MAX_NAME_CHARS}"),
            );
            return false;
        }
        let first = name.starts_with(|c: char| c.is_ascii_alphanumeric());
        let rest = name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'));
        if first && rest {
            return true;
        }
        self.report(
            place,
            format!("{field} is {name:?}"),
            "begin with a letter or digit and use letters, digits, dots, hyphens and underscores",
        );
        false
    }

    /// Records a name; reports a mistake and returns false if it is already declared.
    fn check_unique(
        &mut self,
        seen: &mut HashMap<String, Place>,
        name: &str,
        kind: &str,
        place: &Place,
    ) -> bool {
        if let Some(earlier) = seen.get(name) {
            self.report(
                place,
                format!("{kind} {name} is declared twice, first at {earlier}"),
                "keep one of them",
            );
            return false;
        }
        seen.insert(name.to_owned(), place.clone());
        true
    }

    /// Checks that a template refers to a declared name.
    fn check_reference<T>(
        &mut self,
        located: &Located<T>,
        field: &str,
        name: &str,
        declared: &HashSet<&str>,
    ) -> bool {
        if name.is_empty() {
            self.report(
                located.field(field),
                format!("{field} is missing"),
                format!("add {field}:"),
            );
            return false;
        }
        if declared.contains(name) {
            return true;
        }
        let hint = match nearest(name, declared.iter().copied()) {
            Some(near) => format!("did you mean {near}?"),
            None => format!("declare it under {field}s:, or correct the name"),
        };
        self.report(
            located.field(field),
            format!("{field} {name} isn't declared"),
            hint,
        );
        false
    }

    fn check_choice<T>(&mut self, located: &Located<T>, field: &str, value: &str, known: &[&str]) {
        if known.contains(&value) {
            return;
        }
        let list = known.join(", ");
        let hint = match nearest(value, known.iter().copied()) {
            Some(near) => format!("did you mean {near}? Known are {list}"),
            None => format!("known are {list}"),
        };
        let what = if value.is_empty() {
            format!("{field} is missing")
        } else {
            format!("{field} is {value}")
        };
        self.report(located.field(field), what, hint);
    }

    fn check_range<T>(
        &mut self,
        located: &Located<T>,
        field: &str,
        value: u64,
        min: u64,
        max: u64,
    ) {
        if (min..=max).contains(&value) {
            return;
        }
        let what = if located.has(field) {
            format!("{field} is {value}")
        } else {
            format!("{field} is missing")
        };
        self.report(
            located.field(field),
            what,
            format!("give a number from {min} to {max}"),
        );
    }
}
