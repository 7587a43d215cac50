//! The owned upstreams as operators see them.

use super::port::Ownership;
use super::wire;
use crate::owner::{self, Registry};

impl Ownership for Registry {
    fn owned(&self) -> Vec<wire::Owned> {
        self.status().into_iter().map(Into::into).collect()
    }
}

impl From<owner::Status> for wire::Owned {
    fn from(status: owner::Status) -> Self {
        Self {
            upstream: status.upstream.to_string(),
            held: status.held,
            failing: status.failing,
            leaving: status.leaving,
            running: status.running,
            batch: status.batch,
            waiting: status.waiting,
            resident: status
                .resident
                .into_iter()
                .map(|slot| wire::Slot {
                    adapter: slot.adapter,
                    pins: slot.pins,
                })
                .collect(),
            loading: status.loading,
            asked: status.asked,
            report_age_ms: status.report_age_ms,
        }
    }
}
