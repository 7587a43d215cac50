//! A body that is being received, in segments of a fixed size.

use bytes::Bytes;
use smallvec::SmallVec;

/// Size of a segment in bytes.
///
/// Segments of one size can be reused for one another once they are released, so that the process
/// doesn't grow beyond the most that was reserved at once.
pub const SEGMENT_BYTES: usize = 32 << 10;

/// Size in bytes of the first segment of a body that announces no length.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// A body that is being received.
///
/// It copies what arrives. The library's own pieces would keep their share of the connection's read
/// buffer and an entry each, which is many times a body of small chunks.
#[derive(Debug)]
pub struct Body {
    segments: SmallVec<[Vec<u8>; 1]>,
    first_segment: usize,
    length: usize,
    capacity: usize,
}

impl Body {
    /// Creates an empty body; `announced` is its length in bytes, if its sender says so.
    #[must_use]
    pub fn new(announced: Option<usize>) -> Self {
        Self {
            segments: SmallVec::new(),
            first_segment: announced
                .map_or(FIRST_SEGMENT_BYTES, |length| length.clamp(1, SEGMENT_BYTES)),
            length: 0,
            capacity: 0,
        }
    }

    /// Returns the number of bytes so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether nothing has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory in bytes that the body takes once `more` bytes have been added.
    #[must_use]
    pub fn capacity_with(&self, more: usize) -> usize {
        let length = self.length + more;
        if length <= self.capacity {
            return self.capacity;
        }
        if self.segments.is_empty() && length <= self.first_segment {
            return self.first_segment;
        }
        let first = self.capacity.max(self.first_segment);
        first + length.saturating_sub(first).next_multiple_of(SEGMENT_BYTES)
    }

    /// Appends bytes.
    pub fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.length == self.capacity {
                self.add_segment();
            }
            let (taken, rest) = data.split_at(data.len().min(self.capacity - self.length));
            if let Some(segment) = self.segments.last_mut() {
                segment.extend_from_slice(taken);
            }
            self.length += taken.len();
            data = rest;
        }
    }

    fn add_segment(&mut self) {
        let size = if self.segments.is_empty() {
            self.first_segment
        } else {
            SEGMENT_BYTES
        };
        self.segments.push(Vec::with_capacity(size));
        self.capacity += size;
    }

    /// Returns the whole body in one piece.
    #[must_use]
    pub fn freeze(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            let only = self.segments.pop().unwrap_or_default();
            return only.into_boxed_slice().into();
        }
        let mut whole = Vec::with_capacity(self.length);
        for segment in self.segments {
            whole.extend_from_slice(&segment);
        }
        whole.into()
    }
}
