//! A view made by applying differences equals the view of the complete set.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands its values over"
)]

use chivevalve::config::{View, layout};
use chivevalve::declaration::{DeclarationSet, diff};
use chivevalve::schema::declaration::{Account, Bucket, Pool, Template};
use prost::Message;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Small sets, so that two of them often share names.
#[derive(Debug, Clone)]
struct Declared(DeclarationSet);

impl Arbitrary for Declared {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut set = DeclarationSet::default();
        for (index, engine) in [("p0", true), ("p1", bool::arbitrary(g))] {
            let pool = pool(g, index, engine);
            set.pools.insert(pool.name.clone(), pool);
        }
        let mut unused_keys: Vec<u8> = (0..6).collect();
        for index in 0..3 {
            if bool::arbitrary(g) {
                let account = account(g, &format!("a{index}"), &mut unused_keys);
                set.accounts.insert(account.name.clone(), account);
            }
        }
        for account in set.accounts.keys() {
            for index in 0..4 {
                if bool::arbitrary(g) {
                    let template = template(g, account, &format!("t{index}"), &set);
                    let key = (template.account.clone(), template.name.clone());
                    set.templates.insert(key, template);
                }
            }
        }
        Self(set)
    }
}

fn pool(g: &mut Gen, name: &str, engine: bool) -> Pool {
    let base = if bool::arbitrary(g) { "l" } else { "q" };
    Pool {
        name: name.to_owned(),
        kind: if engine { "engine" } else { "service" }.to_owned(),
        base_model: if engine { base } else { "" }.to_owned(),
        slots: if engine { 4 } else { 0 },
        batch: 1 + u32::from(u8::arbitrary(g) % 3),
        checks_fencing: bool::arbitrary(g),
    }
}

/// Takes keys from a common supply, so that they move between accounts from one set to the next.
fn account(g: &mut Gen, name: &str, unused_keys: &mut Vec<u8>) -> Account {
    let count = usize::arbitrary(g) % 3;
    let mut key_digests: Vec<String> = (0..count)
        .filter_map(|_| {
            let index = usize::arbitrary(g) % unused_keys.len().max(1);
            (index < unused_keys.len())
                .then(|| format!("{:02x}", unused_keys.swap_remove(index)).repeat(32))
        })
        .collect();
    key_digests.sort();
    Account {
        name: name.to_owned(),
        key_digests,
        weight: 1 + u32::from(u8::arbitrary(g) % 2),
        ..Account::default()
    }
}

fn template(g: &mut Gen, account: &str, name: &str, set: &DeclarationSet) -> Template {
    let pool = if bool::arbitrary(g) { "p0" } else { "p1" };
    let engine = set.pools[pool].kind == "engine";
    Template {
        account: account.to_owned(),
        name: name.to_owned(),
        pool: pool.to_owned(),
        adapter: if engine { name } else { "" }.to_owned(),
        version: if engine { "1" } else { "" }.to_owned(),
        class: "normal".to_owned(),
        weight: 1 + u32::from(u8::arbitrary(g) % 2),
        idempotent: bool::arbitrary(g),
        ..Template::default()
    }
}

fn check(property: fn(Declared, Declared) -> bool, seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, seed))
        .tests(400)
        .quickcheck(property as fn(Declared, Declared) -> bool);
}

fn same(a: &View, b: &View) -> bool {
    let keys = |view: &View| {
        let accounts = view.accounts();
        let digests = accounts.flat_map(|account| account.key_digests.clone());
        let mut found: Vec<_> = digests
            .map(|digest| (digest, view.account_by_key_digest(&digest).cloned()))
            .collect();
        found.sort_by_key(|(digest, _)| *digest);
        found
    };
    let mut adapters: Vec<_> = a.templates().cloned().collect();
    adapters.retain(|template| b.template(&template.account, &template.name) != Some(template));
    a.to_set() == b.to_set()
        && a.digest() == b.digest()
        && keys(a) == keys(b)
        && adapters.is_empty()
}

#[test]
fn view_apply_differences_equals_full() {
    fn property(before: Declared, after: Declared) -> bool {
        let old = View::from_set(1, &before.0).unwrap();
        let full = View::from_set(2, &after.0).unwrap();
        let differences = diff::diff(&before.0, &after.0);
        let next = old.apply_differences(2, &differences).unwrap();
        let back = next
            .apply_differences(3, &diff::reverse(&differences))
            .unwrap();
        same(&next, &full) && same(&back, &old)
    }
    check(property, 1);
}

#[test]
fn view_apply_differences_rejects_other_base() {
    fn property(before: Declared, after: Declared) -> bool {
        let differences = diff::diff(&before.0, &after.0);
        let elsewhere = View::from_set(1, &after.0).unwrap();
        differences.is_empty() || elsewhere.apply_differences(2, &differences).is_err()
    }
    check(property, 2);
}

#[test]
fn buckets_hold_each_declaration_once() {
    fn property(before: Declared, _after: Declared) -> bool {
        let mut read = DeclarationSet::default();
        let mut count = 0;
        for stored in layout::encode_buckets(&before.0) {
            assert_eq!(stored.digest, layout::digest(&stored.value));
            let file = Bucket::decode(stored.value.as_slice()).unwrap().file;
            let file = file.unwrap();
            count += file.accounts.len() + file.pools.len() + file.templates.len();
            read.extend(file);
        }
        read == before.0 && count == before.0.len()
    }
    check(property, 3);
}
