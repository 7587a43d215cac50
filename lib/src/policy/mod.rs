//! Scheduling policies: where a request runs, which adapters are loaded and evicted, and
//! which requests wait.
//!
//! Pure functions and small state machines on [`crate::clock::Millis`], without I/O, so
//! that nodes, tests and benchmarks run the same code. See docs/design/0002-decisions.md.
//!
//! - An entry node uses [`placement`] to select the upstreams to try, and their order.
//! - The owner of an upstream runs an [`upstream::Machine`], which decides what starts,
//!   what is loaded and evicted, and what is refused.
//! - The owner of the weight store runs a [`loads::LoadQueue`], which decides the order of
//!   loads.

pub mod demand;
pub mod loads;
pub mod placement;
pub mod queue;
pub mod replicas;
pub mod service_time;
pub mod slots;
pub mod upstream;
