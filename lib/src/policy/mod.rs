//! The decisions: where a request runs, what is loaded and evicted, who waits.
//!
//! Pure functions and small state machines on [`crate::clock::Millis`], with no
//! I/O, so that a node, the tests and the bench run the same code. See
//! docs/design/0002-decisions.md.
//!
//! - An entry node asks [`placement`] which upstreams to try, in which order.
//! - The owner of an upstream drives one [`upstream::Machine`], which decides
//!   what starts, what is loaded and evicted, and what is refused.
//! - The owner of the weight store drives one [`loads::Queue`], which decides
//!   whose load goes next.

pub mod demand;
pub mod loads;
pub mod placement;
pub mod queue;
pub mod replicas;
pub mod service_time;
pub mod slots;
pub mod upstream;
