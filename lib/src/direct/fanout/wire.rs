//! Updates as they travel between nodes.

use super::Update;
use crate::clock::Millis;
use crate::ports::{Entry, Event};
use crate::schema::direct::{Change, Update as Sent};

pub(super) fn encode(update: &Update, after: u64, age: Millis, listening: Millis) -> Sent {
    let newer = update.events.iter().filter(|event| event.revision > after);
    Sent {
        // One that knows more is told so, and asks the service: this node is behind, or the
        // other one believes in a revision that the service never had.
        after: after.min(update.revision),
        revision: update.revision,
        age_ms: age.0,
        changes: newer.map(encode_event).collect(),
        listening_ms: listening.0,
    }
}

/// Bytes that an update takes on its way, about.
pub(super) fn size(update: &Update) -> usize {
    let sizes = update.events.iter().map(|event| {
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

/// Reads an update that came over a call made at `asked`.
///
/// An update can lie in its socket while this node's VM is suspended: read at `now`, it would
/// count as new. It was sent no earlier than the call, and as long behind that as its sender
/// says, which holds whatever happens on the way.
pub(super) fn decode(sent: Sent, asked: Millis, now: Millis) -> Update {
    let sent_at = now.min(asked + Millis(sent.listening_ms));
    Update {
        after: sent.after,
        revision: sent.revision,
        as_of: Millis(sent_at.0.saturating_sub(sent.age_ms)),
        events: sent.changes.into_iter().map(decode_event).collect(),
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
