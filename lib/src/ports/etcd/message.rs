//! Messages of the JSON API of etcd v3, with the fields that are used.
//!
//! Keys and values are encoded in base64, and 64-bit numbers as decimal strings.
//! The service omits fields with default values. Messages can be both serialized
//! and deserialized, so that the fake service of the tests uses the same types.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes encoded as base64.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Encodes a key.
    #[must_use]
    pub fn key(key: &str) -> Self {
        Self(Bytes::copy_from_slice(key.as_bytes()))
    }

    /// Returns the bytes as text, or `None` if they aren't UTF-8.
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

/// A 64-bit number encoded as a decimal string.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Number(pub i64);

impl Number {
    /// Encodes a revision.
    #[must_use]
    pub fn revision(revision: u64) -> Self {
        Self(i64::try_from(revision).unwrap_or(i64::MAX))
    }

    /// Returns the number as unsigned, with 0 for a negative one, which the service doesn't send.
    #[must_use]
    pub fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    #[allow(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
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

/// Header of every response.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The service's revision at the time of the response.
    pub revision: Number,
}

/// Reads or deletes `key`, or all keys from `key` to `range_end`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Blob,
    /// Exclusive end of the range; empty to read only `key`.
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
    /// Revision at which the key was created.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub create_revision: Number,
    /// Revision of the last write.
    pub mod_revision: Number,
    /// Lease that the key is attached to; 0 for none.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub lease: Number,
}

/// Response to a [`RangeRequest`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The service's revision.
    pub header: Header,
    /// Entries in key order.
    pub kvs: Vec<KeyValue>,
    /// Whether the response is truncated.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub more: bool,
}

/// The attribute of a key that a comparison checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Revision at which the key was created; 0 if it doesn't exist.
    Create,
    /// Revision of the last write.
    #[default]
    Mod,
}

/// Comparison operator; only equality is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Outcome {
    /// The values are equal.
    #[default]
    Equal,
}

/// A condition of a transaction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Comparison operator.
    pub result: Outcome,
    /// Attribute that is compared.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// Expected value if the target is [`Target::Create`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Number>,
    /// Expected value if the target is [`Target::Mod`].
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
    /// Lease to attach the key to; 0 for none.
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
    /// Deletes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

/// Applies writes if all comparisons hold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons; all must hold.
    pub compare: Vec<Compare>,
    /// Writes to apply if they do.
    pub success: Vec<RequestOp>,
}

/// Response to a [`TxnRequest`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The service's revision.
    pub header: Header,
    /// Whether the writes were applied.
    pub succeeded: bool,
}

/// Request or response that grants, renews or revokes a lease.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// Id of the lease; 0 lets the service choose one.
    #[serde(rename = "ID", skip_serializing_if = "Number::is_zero")]
    pub id: Number,
    /// Time to live in seconds; 0 in a response if the lease has expired.
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
    /// Range to watch.
    pub create_request: WatchCreateRequest,
}

/// Parameters of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key of the range.
    pub key: Blob,
    /// Exclusive end of the range.
    pub range_end: Blob,
    /// First revision to send.
    pub start_revision: Number,
}

/// Type of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// The key was set.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// A change to one key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Type of the change.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key after the change; only key and revision if it was deleted.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The service's revision.
    pub header: Header,
    /// Whether the watch was created.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Whether the service canceled the watch.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision still available, if the watch was canceled because of compaction.
    #[serde(skip_serializing_if = "Number::is_zero")]
    pub compact_revision: Number,
    /// Changes since the last message.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}
