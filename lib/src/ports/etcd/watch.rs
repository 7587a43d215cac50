//! Decodes the response stream of a watch: concatenated JSON messages.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};
use futures::stream::{self, BoxStream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::ports::etcd::decode_entry;
use crate::ports::etcd::message::{self, Kind, Streamed, WatchResponse};
use crate::ports::http::error_chain;
use crate::ports::{Error, Event};

/// Maximum size of a message in bytes: the changes of one transaction, with values of up to 1 MB.
const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// Returns the events of a watch; the last item is always an error.
///
/// The stream also ends with an error if the service has compacted the revisions
/// to be read, or if its revision decreased. The caller then lists all keys again
/// instead of silently missing changes.
pub(super) fn events(body: Incoming, after: u64) -> BoxStream<'static, Result<Event, Error>> {
    let reader = WatchReader {
        body,
        buffer: BytesMut::new(),
        pending: VecDeque::new(),
        last_revision: after,
        ended: false,
    };
    stream::unfold(reader, |mut reader| async {
        if reader.ended {
            return None;
        }
        let item = reader.next().await;
        reader.ended = item.is_err();
        Some((item, reader))
    })
    .boxed()
}

/// Decodes messages incrementally from a response body.
struct WatchReader {
    body: Incoming,
    buffer: BytesMut,
    pending: VecDeque<Event>,
    /// Largest revision returned so far.
    last_revision: u64,
    ended: bool,
}

impl WatchReader {
    async fn next(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(event);
            }
            if let Some(message) = self.parse_message()? {
                self.apply_message(message)?;
                continue;
            }
            self.read_frame().await?;
        }
    }

    /// Removes the next message from the buffer, or returns `None` if it is incomplete.
    fn parse_message(&mut self) -> Result<Option<WatchResponse>, Error> {
        let mut messages = serde_json::Deserializer::from_slice(&self.buffer)
            .into_iter::<Streamed<WatchResponse>>();
        let parsed = messages.next();
        let parsed_bytes = messages.byte_offset();
        match parsed {
            None => Ok(None),
            Some(Err(error)) if error.is_eof() => Ok(None),
            Some(Err(error)) => Err(Error::Malformed(error.to_string())),
            Some(Ok(message)) => {
                self.buffer.advance(parsed_bytes);
                message
                    .result
                    .map(Some)
                    .ok_or_else(|| Error::NoAnswer("the service ended the watch".to_owned()))
            }
        }
    }

    fn apply_message(&mut self, message: WatchResponse) -> Result<(), Error> {
        if message.canceled {
            return Err(Error::Refused(format!(
                "the watch was ended; oldest revision kept is {}",
                message.compact_revision.unsigned()
            )));
        }
        // A service that was restored from a backup continues from an older revision. Its next
        // writes would have revisions that were already read, and would be missed.
        if message.header.revision.unsigned() < self.last_revision {
            return Err(Error::Refused(
                "the service's revision went back".to_owned(),
            ));
        }
        for event in message.events {
            let event = decode_event(event)?;
            self.last_revision = self.last_revision.max(event.revision);
            self.pending.push_back(event);
        }
        Ok(())
    }

    async fn read_frame(&mut self) -> Result<(), Error> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(Error::Malformed("a message is too long".to_owned()));
        }
        let frame = self
            .body
            .frame()
            .await
            .ok_or_else(|| Error::NoAnswer("the watch ended".to_owned()))?
            .map_err(|error| Error::NoAnswer(error_chain(&error)))?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(())
    }
}

fn decode_event(event: message::Event) -> Result<Event, Error> {
    let kind = event.kind;
    let entry = decode_entry(event.kv)?;
    Ok(Event {
        key: entry.key.clone(),
        revision: entry.revision,
        entry: (kind == Kind::Put).then_some(entry),
    })
}
