//! The stream of a watch: JSON messages, one after another, in one answer.

use std::collections::VecDeque;

use bytes::{Buf, BytesMut};
use futures::stream::{self, BoxStream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::ports::etcd::entry;
use crate::ports::etcd::message::{self, Kind, Streamed, WatchResponse};
use crate::ports::http::describe;
use crate::ports::{Error, Event};

/// Longest message: one transaction's changes, each value at most a megabyte.
const MESSAGE_BYTES: usize = 256 << 20;

/// Reads events until the stream breaks; the last item is then an error.
///
/// A watch that fell behind what the service still knows, and one of a service
/// that went back in time, end in an error too: the caller reads anew instead
/// of missing changes in silence.
pub(super) fn events(body: Incoming, after: u64) -> BoxStream<'static, Result<Event, Error>> {
    let reader = Reader {
        body,
        buffer: BytesMut::new(),
        ready: VecDeque::new(),
        seen: after,
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

struct Reader {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<Event>,
    /// Newest revision that was passed on.
    seen: u64,
    ended: bool,
}

impl Reader {
    async fn next(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            if let Some(message) = self.message()? {
                self.take(message)?;
                continue;
            }
            self.read().await?;
        }
    }

    /// Takes the next whole message out of the buffer.
    fn message(&mut self) -> Result<Option<WatchResponse>, Error> {
        let mut messages = serde_json::Deserializer::from_slice(&self.buffer)
            .into_iter::<Streamed<WatchResponse>>();
        let parsed = messages.next();
        let used = messages.byte_offset();
        match parsed {
            None => Ok(None),
            Some(Err(error)) if error.is_eof() => Ok(None),
            Some(Err(error)) => Err(Error::Malformed(error.to_string())),
            Some(Ok(message)) => {
                self.buffer.advance(used);
                message
                    .result
                    .map(Some)
                    .ok_or_else(|| Error::NoAnswer("the service ended the watch".to_owned()))
            }
        }
    }

    fn take(&mut self, message: WatchResponse) -> Result<(), Error> {
        if message.canceled {
            return Err(Error::Refused(format!(
                "the watch was ended; oldest revision kept is {}",
                message.compact_revision.unsigned()
            )));
        }
        // A service restored from an old copy counts from an older revision; its
        // next writes would look like ones already seen, and be missed.
        if message.header.revision.unsigned() < self.seen {
            return Err(Error::Refused(
                "the service's revision went back".to_owned(),
            ));
        }
        for event in message.events {
            let event = read(event)?;
            self.seen = self.seen.max(event.revision);
            self.ready.push_back(event);
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), Error> {
        if self.buffer.len() > MESSAGE_BYTES {
            return Err(Error::Malformed("a message is too long".to_owned()));
        }
        let frame = self
            .body
            .frame()
            .await
            .ok_or_else(|| Error::NoAnswer("the watch ended".to_owned()))?
            .map_err(|error| Error::NoAnswer(describe(&error)))?;
        if let Ok(data) = frame.into_data() {
            self.buffer.extend_from_slice(&data);
        }
        Ok(())
    }
}

fn read(event: message::Event) -> Result<Event, Error> {
    let kind = event.kind;
    let entry = entry(event.kv)?;
    Ok(Event {
        key: entry.key.clone(),
        revision: entry.revision,
        entry: (kind == Kind::Put).then_some(entry),
    })
}
