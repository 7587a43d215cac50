//! Metrics of control traffic, shared by the client and the server.

use prost::Message;

use crate::metrics::Metrics;

/// Adds the encoded size of a control message to the control traffic metric.
///
/// `direction` is `sent` or `received`.
pub(super) fn count(metrics: &Metrics, direction: &str, message: &impl Message) {
    let bytes = u64::try_from(message.encoded_len()).unwrap_or(u64::MAX);
    metrics
        .control_bytes
        .with_label_values(&[direction])
        .inc_by(bytes);
}
