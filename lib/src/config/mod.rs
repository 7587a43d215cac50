//! The configuration in force: read by every request, replaced as a whole.

pub mod view;

pub use view::View;
