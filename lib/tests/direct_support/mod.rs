//! Doubles at the borders of direct serving.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod memory;
