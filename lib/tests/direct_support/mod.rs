//! Test doubles for what direct serving depends on.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod claimer;
pub mod listen;
pub mod memory;
pub mod records;

/// An engine's entry in the platform's list, in the platform's format.
pub const SERVER: &str = include_str!("../../../platform/tests/samples/server.json");
