//! Connections between nodes: the service that a node gives its peers, and its
//! clients of theirs. See docs/architecture.md.
