//! Converts between stored messages and the types that requests use.

use std::sync::Arc;

use thiserror::Error;

use super::{Account, Pool, PoolKind, Template};
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::request::Class;
use crate::runner::Share;
use crate::schema::declaration as schema;

/// A stored declaration that this version can't decode.
///
/// A newer version may have written it, or the stored data is damaged. The node
/// keeps its current revision.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{what} {name}: {reason}")]
pub struct DecodeError {
    /// Kind of declaration: account, pool or template.
    pub what: &'static str,
    /// Its name.
    pub name: String,
    /// Why it can't be decoded.
    pub reason: String,
}

const ENGINE: &str = "engine";
const SERVICE: &str = "service";

/// Decodes an account.
///
/// # Errors
///
/// When a digest isn't 64 hexadecimal digits.
pub fn account(message: &schema::Account) -> Result<Account, DecodeError> {
    let digests: Option<Vec<[u8; 32]>> = message
        .key_digests
        .iter()
        .map(|text| digest(text))
        .collect();
    let mut key_digests = digests.ok_or_else(|| DecodeError {
        what: "account",
        name: message.name.clone(),
        reason: "a key digest isn't 64 hexadecimal digits".to_owned(),
    })?;
    // Sorted, so that declaring the same keys in another order isn't a change.
    key_digests.sort_unstable();
    key_digests.dedup();
    Ok(Account {
        name: Arc::from(message.name.as_str()),
        key_digests,
        share: Share {
            weight: message.weight.max(1),
            max_in_flight: message.max_in_flight,
            max_queued: message.max_queued,
        },
    })
}

/// Encodes an account in canonical form.
#[must_use]
pub fn account_message(account: &Account) -> schema::Account {
    schema::Account {
        name: account.name.to_string(),
        key_digests: account.key_digests.iter().map(|d| hex(d)).collect(),
        weight: account.share.weight,
        max_in_flight: account.share.max_in_flight,
        max_queued: account.share.max_queued,
    }
}

/// Decodes a pool.
///
/// # Errors
///
/// When its kind is unknown or a required field is missing.
pub fn pool(message: &schema::Pool) -> Result<Pool, DecodeError> {
    let unreadable = |reason: &str| DecodeError {
        what: "pool",
        name: message.name.clone(),
        reason: reason.to_owned(),
    };
    let kind = match message.kind.as_str() {
        ENGINE if message.slots == 0 => return Err(unreadable("slots is 0")),
        ENGINE if message.base_model.is_empty() => {
            return Err(unreadable("base_model is missing"));
        }
        ENGINE => PoolKind::Engine {
            base_model: Arc::from(message.base_model.as_str()),
            slots: message.slots,
        },
        SERVICE => PoolKind::Service,
        other => return Err(unreadable(&format!("kind {other} isn't known"))),
    };
    if message.batch == 0 {
        return Err(unreadable("batch is 0"));
    }
    Ok(Pool {
        name: Arc::from(message.name.as_str()),
        kind,
        batch: message.batch,
        checks_fencing: message.checks_fencing,
    })
}

/// Encodes a pool in canonical form.
#[must_use]
pub fn pool_message(pool: &Pool) -> schema::Pool {
    let (kind, base_model, slots) = match &pool.kind {
        PoolKind::Engine { base_model, slots } => (ENGINE, base_model.to_string(), *slots),
        PoolKind::Service => (SERVICE, String::new(), 0),
    };
    schema::Pool {
        name: pool.name.to_string(),
        kind: kind.to_owned(),
        base_model,
        slots,
        batch: pool.batch,
        checks_fencing: pool.checks_fencing,
    }
}

/// Decodes a template; its pool determines the adapter's base model.
///
/// # Errors
///
/// When the pool is missing, the class is unknown, or the adapter doesn't match the kind of pool.
pub fn template(
    message: &schema::Template,
    pool: Option<&Arc<Pool>>,
) -> Result<Template, DecodeError> {
    let unreadable = |reason: &str| DecodeError {
        what: "template",
        name: format!("{}/{}", message.account, message.name),
        reason: reason.to_owned(),
    };
    let pool = pool.ok_or_else(|| unreadable("its pool is missing"))?;
    let class = class(&message.class).ok_or_else(|| unreadable("its class isn't known"))?;
    let named = !message.adapter.is_empty() && !message.version.is_empty();
    let adapter = match &pool.kind {
        PoolKind::Engine { base_model, .. } if named => Some(Adapter {
            base_model: Arc::clone(base_model),
            name: Arc::from(message.adapter.as_str()),
            version: Arc::from(message.version.as_str()),
        }),
        PoolKind::Engine { .. } => return Err(unreadable("adapter or version is missing")),
        PoolKind::Service if message.adapter.is_empty() && message.version.is_empty() => None,
        PoolKind::Service => return Err(unreadable("a plain service takes no adapter")),
    };
    Ok(Template {
        account: Arc::from(message.account.as_str()),
        name: Arc::from(message.name.as_str()),
        pool: Arc::clone(&pool.name),
        adapter,
        class,
        weight: message.weight.max(1),
        idempotent: message.idempotent,
        deadline: nonzero(message.deadline_ms).map(Millis),
        max_output_tokens: nonzero(message.max_output_tokens),
        max_body_bytes: nonzero(message.max_body_bytes),
    })
}

/// Encodes a template in canonical form.
#[must_use]
pub fn template_message(template: &Template) -> schema::Template {
    let (adapter, version) = template
        .adapter
        .as_ref()
        .map(|adapter| (adapter.name.to_string(), adapter.version.to_string()))
        .unwrap_or_default();
    schema::Template {
        account: template.account.to_string(),
        name: template.name.to_string(),
        pool: template.pool.to_string(),
        adapter,
        version,
        class: template.class.name().to_owned(),
        weight: template.weight,
        idempotent: template.idempotent,
        deadline_ms: template.deadline.map_or(0, |span| span.0),
        max_output_tokens: template.max_output_tokens.unwrap_or(0),
        max_body_bytes: template.max_body_bytes.unwrap_or(0),
    }
}

/// Decodes a class; an empty text means the normal class.
pub(super) fn class(name: &str) -> Option<Class> {
    if name.is_empty() {
        return Some(Class::default());
    }
    Class::ALL.into_iter().find(|class| class.name() == name)
}

/// Decodes a digest of 64 hexadecimal digits.
pub(super) fn digest(text: &str) -> Option<[u8; 32]> {
    let bytes = text.as_bytes();
    if bytes.len() != 64 || !bytes.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}

/// Formats bytes as hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns none for 0, which means that the field isn't set.
fn nonzero<N: PartialEq + From<u8>>(number: N) -> Option<N> {
    (number != N::from(0)).then_some(number)
}
