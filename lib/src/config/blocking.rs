//! Work that takes long enough to be felt by streams on the same thread.
//!
//! Comparing or building tens of thousands of templates takes a tenth of a
//! second. On a thread that also carries answers to callers, every stream of
//! that thread would pause as long.

use tokio::runtime::{Handle, RuntimeFlavor};

/// Does the work after handing the thread's other tasks to other threads, where there are any.
pub(super) fn run<T>(work: impl FnOnce() -> T) -> T {
    let flavor = Handle::try_current().map(|handle| handle.runtime_flavor());
    match flavor {
        Ok(RuntimeFlavor::MultiThread) => tokio::task::block_in_place(work),
        _ => work(),
    }
}
