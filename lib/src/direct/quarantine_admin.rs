//! Operators' calls for quarantined requests: listing them and lifting a quarantine.

use super::dialect::{Dialect, Key};
use super::quarantine::HARMLESS_PREFIX;
use super::view::State;
use crate::clock::Millis;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::ledger::{REPORT_TTL, SuspectStatus};
use crate::ports::{Error, Lease, Store, Transaction, Write};

/// Returns the requests that may have crashed upstreams, from the records in the key-value service.
///
/// # Errors
///
/// When the service can't be read.
pub async fn list(store: &dyn Store, dialect: &dyn Dialect) -> Result<Vec<SuspectStatus>, Error> {
    let listing = store.list(&dialect.own_key("")).await?;
    let mut state = State::default();
    for entry in &listing.entries {
        if let Key::Own(name) = dialect.parse_key(&entry.key) {
            state.put_quarantine_record(&name, &entry.value, Some(entry.revision), Millis::ZERO);
        }
    }
    Ok(state.ledger.suspect_statuses(Millis::ZERO))
}

/// Lifts the quarantine of a request at all nodes.
///
/// It writes the same record as a node does after an upstream ran the request without a crash.
///
/// # Errors
///
/// When the write fails; after [`Error::NoAnswer`] it may have taken effect.
pub async fn lift(
    store: &dyn Store,
    lease: &dyn Lease,
    dialect: &dyn Dialect,
    request: &Fingerprint,
) -> Result<(), Error> {
    let lease = lease.grant(REPORT_TTL).await?;
    let key = dialect.own_key(&format!("{HARMLESS_PREFIX}{request}"));
    let value = serde_json::to_vec(request).map_err(|error| Error::Malformed(error.to_string()))?;
    let transaction = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Put(key, value.into(), Some(lease))],
    };
    store.commit(transaction).await.map(|_| ())
}
