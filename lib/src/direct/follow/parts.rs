//! Reading changes in parts when a response with all of them is large.
//!
//! A configuration can take seconds over a slow link, and each of its versions is a change of its
//! own. So all other changes are read and applied first, and only the newest version of the
//! configuration is read. See docs/design/0009-changes-within-a-domain.md.

use futures::future;

use super::{Applied, Follower, MAX_POLL_BYTES, OUTAGE_POLL_WAIT, Update};
use crate::clock::Millis;
use crate::direct::fanout::payload_bytes;
use crate::ports::Event;
use crate::ports::poll::{self, Changes, Query};

/// Size of a response with changes of other keys than the configuration's above which everything
/// is read instead, in bytes.
///
/// A listing comes in pages, and has no changes that later ones replace.
const MAX_PART_BYTES: usize = 4 << 20;

/// Changes under some prefixes.
#[derive(Debug)]
struct Part {
    /// The changes in the order of their revisions.
    events: Vec<Event>,
    /// The revision up to which none of them is missing.
    until: u64,
    /// Whether more changes may be ready.
    more: bool,
}

impl Follower {
    /// Reads and applies the changes after a revision, the configuration last.
    ///
    /// # Errors
    ///
    /// Those of the polls, [`poll::Error::Oversized`] if everything has to be read instead. Changes
    /// that were applied before an error are read again.
    pub(super) async fn read_parts(&mut self, after: u64) -> Result<Applied, poll::Error> {
        let read_since = self.clock.now();
        let others = self.poll_others(after).await?;
        self.record_answer();
        let as_of = if others.more {
            self.confirmed_at.unwrap_or_default()
        } else {
            read_since
        };
        self.apply_events(&others.events, as_of);
        let config = self.poll_config(after, others.until).await?;
        self.count_update("service");
        self.apply_events(&config.events, as_of);
        if config.events.is_empty() && payload_bytes(&others.events) > self.max_poll_bytes / 2 {
            // Responses without a configuration are as large, so reading in parts gains nothing.
            self.max_poll_bytes = MAX_PART_BYTES.min(self.max_poll_bytes * 2);
        }
        let more = others.more;
        let update = merge(after, as_of, [others, config]);
        let revision = update.revision;
        self.advance(update);
        Ok(Applied {
            revision,
            more,
            read_since,
        })
    }

    /// Polls for all changes but those of the configuration.
    async fn poll_others(&mut self, after: u64) -> Result<Part, poll::Error> {
        let prefixes = self.dialect.small_prefixes().iter();
        let polls = prefixes.map(|prefix| {
            let query = Query::new(prefix, after, OUTAGE_POLL_WAIT);
            self.poll.changes(query.within_bytes(MAX_PART_BYTES))
        });
        let responses = future::try_join_all(polls).await?;
        let more = responses.iter().any(|changes| changes.more);
        let until = responses.iter().map(complete_until).min();
        let events = responses.into_iter().flat_map(|changes| changes.events);
        let mut events: Vec<Event> = events.collect();
        events.sort_by_key(|event| event.revision);
        Ok(Part {
            events,
            until: until.unwrap_or(after),
            more,
        })
    }

    /// Polls for changes of the configuration, or reads its newest version if they are large.
    ///
    /// All other changes are known up to `others_until`.
    async fn poll_config(&mut self, after: u64, others_until: u64) -> Result<Part, poll::Error> {
        let key = self.dialect.config_key();
        let query = Query::new(key, after, OUTAGE_POLL_WAIT).within_bytes(MAX_POLL_BYTES);
        match self.poll.changes(query).await {
            Ok(changes) => Ok(Part {
                until: complete_until(&changes),
                more: changes.more,
                events: changes.events,
            }),
            Err(poll::Error::Oversized(_)) => {
                if let Some(hub) = &self.hub {
                    hub.publish_gap(others_until, self.confirmed_at.unwrap_or_default());
                }
                let entry = self.store.get(key).await?;
                let event = entry.map(|entry| Event {
                    key: entry.key.clone(),
                    revision: entry.revision,
                    entry: Some(entry),
                });
                Ok(Part {
                    events: event.into_iter().collect(),
                    // It is read after all other changes, so it is newer than any of them.
                    until: u64::MAX,
                    more: false,
                })
            }
            Err(error) => Err(error),
        }
    }
}

/// Merges parts into an update without the changes after which others may be missing.
fn merge(after: u64, as_of: Millis, parts: [Part; 2]) -> Update {
    let until = parts.iter().map(|part| part.until).min();
    let until = until.unwrap_or(after);
    let events = parts.into_iter().flat_map(|part| part.events);
    let is_complete = |event: &Event| (after + 1..=until).contains(&event.revision);
    let mut events: Vec<Event> = events.filter(is_complete).collect();
    events.sort_by_key(|event| event.revision);
    // Other nodes accept only a revision that the changes reach.
    let newest = events.last().map(|event| event.revision);
    Update {
        after,
        revision: after.max(newest.unwrap_or_default()),
        as_of,
        events,
    }
}

/// Returns the revision up to which a response contains all changes under its prefix.
fn complete_until(changes: &Changes) -> u64 {
    let newest = changes.events.last().map(|event| event.revision);
    match newest {
        Some(newest) if changes.more => newest,
        _ => changes.revision,
    }
}
