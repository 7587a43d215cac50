//! The events of one stream in their order, whichever upstreams they come from.

use bytes::{Bytes, BytesMut};
use hyper::body::Frame;

use super::sse::EventSplitter;

/// What a body gives when it is read on; none at its end.
pub type BodyFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// What reading on led to.
#[derive(Debug)]
pub enum StreamStep {
    /// Whole events to pass on.
    Events(Bytes),
    /// Nothing yet.
    More,
    /// The upstream ended the stream in order.
    End,
    /// The stream can't go on where it is.
    Broken(String),
    /// Its run hasn't begun, and may not begin any more where it is.
    Withdrawn,
}

/// Passes on whole events, each of which follows the one before.
#[derive(Debug)]
pub struct EventSequence {
    splitter: EventSplitter,
    last: Option<u64>,
    /// What was found behind events that were passed on.
    broken: Option<String>,
}

impl EventSequence {
    /// Begins behind the event that the caller has already.
    #[must_use]
    pub fn new(last: Option<u64>) -> Self {
        Self {
            splitter: EventSplitter::default(),
            last,
            broken: None,
        }
    }

    /// Returns the number of the last event that was passed on.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Begins with another upstream, behind the last event that was passed on.
    pub fn restart(&mut self) {
        self.splitter.clear();
        self.broken = None;
    }

    /// Returns what is known without reading on.
    pub fn known(&mut self) -> Option<StreamStep> {
        self.broken.take().map(StreamStep::Broken)
    }

    /// Takes in what came from the upstream.
    pub fn receive(&mut self, received: BodyFrame) -> StreamStep {
        match received {
            Some(Err(error)) => StreamStep::Broken(error.to_string()),
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => self.take(&data),
                Err(_) => StreamStep::More,
            },
            None if self.splitter.has_partial_event() => {
                StreamStep::Broken("it ended within an event".to_owned())
            }
            None => StreamStep::End,
        }
    }

    /// Takes out the whole events among what came.
    ///
    /// A gap can show behind events that came in the same piece. They are passed on first; the
    /// gap is kept, or an upstream that ends in order then would make the stream look whole.
    fn take(&mut self, data: &[u8]) -> StreamStep {
        self.splitter.push(data);
        let mut whole = BytesMut::new();
        while let Some(event) = self.splitter.event() {
            if let (Some(id), Some(last)) = (event.id, self.last)
                && id != last + 1
            {
                self.broken = Some(format!("event {id} follows event {last}"));
                break;
            }
            if event.id.is_some() {
                self.last = event.id;
            }
            whole.extend_from_slice(&event.bytes);
        }
        if self.splitter.is_oversized() {
            return StreamStep::Broken("an event is too long".to_owned());
        }
        if whole.is_empty() {
            return self.known().unwrap_or(StreamStep::More);
        }
        StreamStep::Events(whole.freeze())
    }
}
