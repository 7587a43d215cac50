//! Messages of etcd v3's JSON interface, as far as they are used.
//!
//! Keys and values are base64, 64-bit numbers are decimal text; fields at their
//! default are left out by the service. Both directions are derived, so that
//! the stand-in speaks with the same types.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel as base64.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Wraps a key.
    #[must_use]
    pub fn key(key: &str) -> Self {
        Self(Bytes::copy_from_slice(key.as_bytes()))
    }

    /// Reads a key; ours are text.
    #[must_use]
    pub fn text(&self) -> Option<String> {
        String::from_utf8(self.0.to_vec()).ok()
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// A 64-bit number that travels as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Number(pub i64);

impl Number {
    /// Wraps a revision.
    #[must_use]
    pub fn revision(revision: u64) -> Self {
        Self(i64::try_from(revision).unwrap_or(i64::MAX))
    }

    /// Reads a revision; a negative one doesn't occur and counts as none.
    #[must_use]
    pub fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    #[allow(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde asks for a reference"
    )]
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

/// What every answer begins with.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The service's revision as of the answer.
    pub revision: Number,
}

/// Reads a key, or all keys from `key` up to `range_end`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// End of the range, itself not in it; empty reads one key.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
}

/// A key and its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The value.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// Revision of the write that made the key.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub create_revision: Number,
    /// Revision of the last write.
    pub mod_revision: Number,
    /// The lease that it lives with.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub lease: Number,
}

/// What a read found.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The service's revision.
    pub header: Header,
    /// In order of keys.
    pub kvs: Vec<KeyValue>,
    /// Whether the answer leaves keys out.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

/// What a comparison looks at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The revision of the write that made the key; 0 if it doesn't exist.
    Create,
    /// The revision of the last write.
    #[default]
    Mod,
}

/// How a comparison compares; only equality is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Outcome {
    /// Both are equal.
    #[default]
    Equal,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How it compares.
    pub result: Outcome,
    /// What it looks at.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// Compared with if the target is [`Target::Create`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Number>,
    /// Compared with if the target is [`Target::Mod`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Number>,
}

/// Sets a key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The new value.
    pub value: Blob,
    /// The lease that it is to live with; 0 is none.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub lease: Number,
}

/// One write of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Sets a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Removes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Makes writes if all comparisons hold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// All must hold.
    pub compare: Vec<Compare>,
    /// Made if they do.
    pub success: Vec<RequestOp>,
}

/// How a transaction ended.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The service's revision.
    pub header: Header,
    /// Whether the writes were made.
    pub succeeded: bool,
}

/// Grants, renews or ends a lease.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// The lease's number; 0 lets the service choose.
    #[serde(rename = "ID", skip_serializing_if = "Number::is_zero")]
    pub id: Number,
    /// Its span in seconds; 0 in an answer means that it has lapsed.
    #[serde(rename = "TTL", skip_serializing_if = "Number::is_zero")]
    pub ttl: Number,
}

/// One message of a stream.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The message, or none if the stream failed.
    pub result: Option<T>,
}

/// Starts a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// What to watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    pub key: Blob,
    /// End of the range.
    pub range_end: Blob,
    /// The first revision of interest.
    pub start_revision: Number,
}

/// Whether a key was set or removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// It was set.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

/// One change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key as it is now; of a removed one only key and revision.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The service's revision.
    pub header: Header,
    /// The watch is made.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// The service ends the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// The oldest revision that can still be watched, if that is why it ended.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub compact_revision: Number,
    /// What changed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}
