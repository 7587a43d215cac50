//! What both sides of a call share.

use prost::Message;

use crate::metrics::Metrics;

/// Counts a message of control traffic.
pub(super) fn count(metrics: &Metrics, direction: &str, message: &impl Message) {
    let bytes = u64::try_from(message.encoded_len()).unwrap_or(u64::MAX);
    metrics
        .control_bytes
        .with_label_values(&[direction])
        .inc_by(bytes);
}
