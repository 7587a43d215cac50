//! Runs CPU-bound work without delaying other tasks of the same thread.
//!
//! Comparing or building tens of thousands of templates takes a tenth of a
//! second. On a thread that also relays responses, every stream would stall for
//! that long.

use tokio::runtime::{Handle, RuntimeFlavor};

/// Runs `work` in place; a multi-threaded runtime first moves the thread's other tasks away.
pub(super) fn run<T>(work: impl FnOnce() -> T) -> T {
    let flavor = Handle::try_current().map(|handle| handle.runtime_flavor());
    match flavor {
        Ok(RuntimeFlavor::MultiThread) => tokio::task::block_in_place(work),
        _ => work(),
    }
}
