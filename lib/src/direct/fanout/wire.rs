//! Encoding of updates for the wire between nodes.

use super::Update;
use crate::clock::Millis;
use crate::ports::{Entry, Event};
use crate::schema::direct::{Change, Update as ProtoUpdate};

pub(super) fn encode(update: &Update, after: u64, age: Millis, stream_age: Millis) -> ProtoUpdate {
    let newer = update.events.iter().filter(|event| event.revision > after);
    ProtoUpdate {
        // A subscriber that is ahead of this update rejects it as stale, and polls the service if
        // that lasts: either this node is behind, or the subscriber has a revision that the
        // service never reached.
        after: after.min(update.revision),
        revision: update.revision,
        age_ms: age.0,
        changes: newer.map(encode_event).collect(),
        listening_ms: stream_age.0,
    }
}

/// Returns the approximate size of changes on the wire between nodes, in bytes.
pub fn payload_bytes(events: &[Event]) -> usize {
    let sizes = events.iter().map(|event| {
        let value = event.entry.as_ref().map_or(0, |entry| entry.value.len());
        event.key.len() + value
    });
    sizes.sum()
}

fn encode_event(event: &Event) -> Change {
    Change {
        key: event.key.clone(),
        removed: event.entry.is_none(),
        value: event
            .entry
            .as_ref()
            .map(|entry| entry.value.to_vec())
            .unwrap_or_default(),
        revision: event.revision,
        created: event.entry.as_ref().map_or(0, |entry| entry.created),
    }
}

/// Decodes an update of a stream that was requested at `requested_at`.
///
/// An update can wait in the socket's buffer while this node's VM is suspended, and would look
/// new when it is read at `now`. So the time at which it was sent is taken to be that of the
/// request plus the age of the stream that the sender states. It can't have been sent earlier,
/// whatever delays it on the way.
pub(super) fn decode(message: ProtoUpdate, requested_at: Millis, now: Millis) -> Update {
    let sent_at = now.min(requested_at + Millis(message.listening_ms));
    Update {
        after: message.after,
        revision: message.revision,
        as_of: Millis(sent_at.0.saturating_sub(message.age_ms)),
        events: message.changes.into_iter().map(decode_event).collect(),
    }
}

fn decode_event(change: Change) -> Event {
    let entry = (!change.removed).then(|| Entry {
        key: change.key.clone(),
        value: change.value.into(),
        revision: change.revision,
        created: change.created,
        lease: None,
    });
    Event {
        key: change.key,
        entry,
        revision: change.revision,
    }
}
