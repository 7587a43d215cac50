//! What the declarations of a directory must fulfil together.

use std::collections::{HashMap, HashSet};

use super::convert;
use super::mistake::{Mistake, Place};
use super::nearest::nearest;
use super::read::{Placed, Raw};
use super::set::DeclarationSet;
use crate::request::Class;
use crate::schema::declaration::{Account, Pool, Template};

/// Longest name, in characters.
pub const MAX_NAME: usize = 128;
/// Most keys of one client account.
pub const MAX_KEYS: usize = 32;
/// Largest weight.
pub const MAX_WEIGHT: u32 = 1_000;
/// Most adapter slots of an engine.
pub const MAX_SLOTS: u32 = 4_096;
/// Most requests running at a time on one upstream.
pub const MAX_BATCH: u32 = 65_536;
/// Longest deadline: a day, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;
/// Largest request body, in bytes.
pub const MAX_BODY: u64 = 64 * 1024 * 1024;
/// Most tokens of one request.
pub const MAX_TOKENS: u32 = 10_000_000;
/// Most client accounts.
pub const MAX_ACCOUNTS: usize = 20_000;
/// Most pools.
pub const MAX_POOLS: usize = 1_000;
/// Most templates: three times the adapters of the target, with room.
pub const MAX_TEMPLATES: usize = 100_000;

const KINDS: [&str; 2] = ["engine", "service"];
const CLASSES: [&str; 3] = [
    Class::Urgent.name(),
    Class::Normal.name(),
    Class::Bulk.name(),
];

/// Checks everything together and makes the canonical set of it.
pub(super) fn apply(raw: &Raw, directory: &Place, mistakes: &mut Vec<Mistake>) -> DeclarationSet {
    let mut checker = Checker {
        mistakes,
        set: DeclarationSet::default(),
    };
    checker.amounts(raw, directory);
    checker.pools(&raw.pools);
    checker.accounts(&raw.accounts);
    checker.templates(raw);
    checker.set
}

struct Checker<'a> {
    mistakes: &'a mut Vec<Mistake>,
    set: DeclarationSet,
}

impl Checker<'_> {
    fn add(&mut self, place: &Place, what: impl Into<String>, hint: impl Into<String>) {
        self.mistakes.push(Mistake::new(place, what, hint));
    }

    fn amounts(&mut self, raw: &Raw, directory: &Place) {
        for (word, count, most) in [
            ("accounts", raw.accounts.len(), MAX_ACCOUNTS),
            ("pools", raw.pools.len(), MAX_POOLS),
            ("templates", raw.templates.len(), MAX_TEMPLATES),
        ] {
            if count > most {
                self.add(
                    directory,
                    format!("there are {count} {word}"),
                    format!("declare at most {most}"),
                );
            }
        }
    }

    fn pools(&mut self, pools: &[Placed<Pool>]) {
        let mut seen = HashMap::new();
        for pool in pools {
            let value = &pool.value;
            let named = self.name(pool, "name", &value.name);
            if named && !self.first(&mut seen, &value.name, "pool", pool.field("name")) {
                continue;
            }
            if self.pool(pool)
                && named
                && let Ok(read) = convert::pool(value)
            {
                let message = convert::pool_message(&read);
                self.set.pools.insert(message.name.clone(), message);
            }
        }
    }

    fn pool(&mut self, pool: &Placed<Pool>) -> bool {
        let before = self.mistakes.len();
        let value = &pool.value;
        self.known(pool, "kind", &value.kind, &KINDS);
        self.within(pool, "batch", value.batch.into(), 1, MAX_BATCH.into());
        if value.kind == "engine" {
            self.name(pool, "base_model", &value.base_model);
            self.within(pool, "slots", value.slots.into(), 1, MAX_SLOTS.into());
        }
        if value.kind == "service" {
            for field in ["base_model", "slots"] {
                if pool.has(field) {
                    self.add(
                        pool.field(field),
                        format!("{field} is set for a pool of plain services"),
                        "leave it out, or write kind: engine",
                    );
                }
            }
        }
        self.mistakes.len() == before
    }

    fn accounts(&mut self, accounts: &[Placed<Account>]) {
        let mut seen = HashMap::new();
        let mut keys: HashMap<[u8; 32], &str> = HashMap::new();
        for account in accounts {
            let value = &account.value;
            let named = self.name(account, "name", &value.name);
            if named && !self.first(&mut seen, &value.name, "account", account.field("name")) {
                continue;
            }
            self.within(account, "weight", value.weight.into(), 0, MAX_WEIGHT.into());
            self.digests(account, &mut keys);
            if named && let Ok(read) = convert::account(value) {
                let message = convert::account_message(&read);
                self.set.accounts.insert(message.name.clone(), message);
            }
        }
    }

    fn digests<'a>(&mut self, account: &'a Placed<Account>, keys: &mut HashMap<[u8; 32], &'a str>) {
        let value = &account.value;
        let place = account.field("key_digests");
        if value.key_digests.len() > MAX_KEYS {
            self.add(
                place,
                format!("{} key digests are listed", value.key_digests.len()),
                format!("keep at most {MAX_KEYS}; remove keys that aren't used any more"),
            );
        }
        for (index, text) in value.key_digests.iter().enumerate() {
            let number = index + 1;
            let Some(digest) = convert::digest(text) else {
                // The text isn't shown: it may be the key itself.
                self.add(
                    place,
                    format!("key digest {number} isn't a SHA-256 digest"),
                    "give 64 hexadecimal digits, as chivevalve digest prints them; never the key",
                );
                continue;
            };
            match keys.insert(digest, &value.name) {
                Some(other) if other == value.name => self.add(
                    place,
                    format!("key digest {number} stands twice"),
                    "keep one of them",
                ),
                Some(other) => self.add(
                    place,
                    format!("key digest {number} also belongs to account {other}"),
                    "give each account keys of its own",
                ),
                None => {}
            }
        }
    }

    fn templates(&mut self, raw: &Raw) {
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
            let owned = self.refers(template, "account", &value.account, &accounts);
            let named = self.name(template, "name", &value.name);
            let full = format!("{}/{}", value.account, value.name);
            if owned && named && !self.first(&mut seen, &full, "template", template.field("name")) {
                continue;
            }
            if self.refers(template, "pool", &value.pool, &pool_names) {
                self.adapter(template, pools[value.pool.as_str()]);
            }
            self.template(template);
            self.keep(value, owned && named);
        }
    }

    fn keep(&mut self, value: &Template, named: bool) {
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

    fn template(&mut self, template: &Placed<Template>) {
        let value = &template.value;
        if template.has("class") {
            self.known(template, "class", &value.class, &CLASSES);
        }
        self.within(
            template,
            "weight",
            value.weight.into(),
            0,
            MAX_WEIGHT.into(),
        );
        self.within(
            template,
            "deadline_ms",
            value.deadline_ms,
            0,
            MAX_DEADLINE_MS,
        );
        self.within(
            template,
            "max_body_bytes",
            value.max_body_bytes,
            0,
            MAX_BODY,
        );
        self.within(
            template,
            "max_output_tokens",
            value.max_output_tokens.into(),
            0,
            MAX_TOKENS.into(),
        );
    }

    fn adapter(&mut self, template: &Placed<Template>, pool: &Pool) {
        let value = &template.value;
        if pool.kind == "service" {
            for field in ["adapter", "version", "max_output_tokens"] {
                if template.has(field) {
                    self.add(
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
            self.add(
                template.field("adapter"),
                format!("pool {} holds engines, but no adapter is named", pool.name),
                "add adapter: and version:",
            );
        } else {
            self.name(template, "adapter", &value.adapter);
        }
        if !value.version.is_empty() {
            self.name(template, "version", &value.version);
        } else if !value.adapter.is_empty() {
            self.add(
                template.field("version"),
                format!("adapter {} is named without a version", value.adapter),
                "add version:; each template names the exact version that it runs on",
            );
        }
    }

    /// Checks a name's characters and length.
    fn name<T>(&mut self, placed: &Placed<T>, field: &str, name: &str) -> bool {
        let place = placed.field(field);
        if name.is_empty() {
            self.add(
                place,
                format!("{field} is missing"),
                format!("add {field}:"),
            );
            return false;
        }
        if name.chars().count() > MAX_NAME {
            self.add(
                place,
                format!("{field} has {} characters", name.chars().count()),
                format!("keep it within {MAX_NAME}"),
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
        self.add(
            place,
            format!("{field} is {name:?}"),
            "begin with a letter or digit and use letters, digits, dots, hyphens and underscores",
        );
        false
    }

    /// Notes a name; says whether it is the first of its kind.
    fn first(
        &mut self,
        seen: &mut HashMap<String, Place>,
        name: &str,
        word: &str,
        place: &Place,
    ) -> bool {
        if let Some(earlier) = seen.get(name) {
            self.add(
                place,
                format!("{word} {name} is declared twice, first at {earlier}"),
                "keep one of them",
            );
            return false;
        }
        seen.insert(name.to_owned(), place.clone());
        true
    }

    /// Checks that a template refers to something that is declared.
    fn refers<T>(
        &mut self,
        placed: &Placed<T>,
        field: &str,
        name: &str,
        declared: &HashSet<&str>,
    ) -> bool {
        if name.is_empty() {
            self.add(
                placed.field(field),
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
        self.add(
            placed.field(field),
            format!("{field} {name} isn't declared"),
            hint,
        );
        false
    }

    fn known<T>(&mut self, placed: &Placed<T>, field: &str, value: &str, known: &[&str]) {
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
        self.add(placed.field(field), what, hint);
    }

    fn within<T>(&mut self, placed: &Placed<T>, field: &str, value: u64, least: u64, most: u64) {
        if (least..=most).contains(&value) {
            return;
        }
        let what = if placed.has(field) {
            format!("{field} is {value}")
        } else {
            format!("{field} is missing")
        };
        self.add(
            placed.field(field),
            what,
            format!("give a number from {least} to {most}"),
        );
    }
}
