//! Fixed seeds of the campaign, and the stories that ever failed.

use super::event::Edit::{Toggle, Weight};
use super::event::Event;
use super::{DEFAULT_SEED, campaign, play};

#[test]
fn fuzz_config_fixed_seeds() {
    let (_, played, failures) = campaign(600, DEFAULT_SEED).unwrap();
    assert!(played >= 600);
    assert!(failures.is_empty(), "{failures:?}");
}

/// Symptom: a node has a revision in force that nobody wrote.
/// Sequence: an operator uses the identity of an accepted change for another one, at a
/// node whose reads come from a stale replica; the write fails, and the service says that
/// the identity became the revision that the node wanted to write.
/// Cause: the node took the identity for proof that its own change was written.
#[test]
fn replay_reused_identity_behind_stale_replica() {
    let story = [
        Event::Stale(0, 5, 4),
        Event::Apply(0, Weight(0)),
        Event::Wait(20),
        Event::Apply(1, Weight(0)),
        Event::Apply(4, Weight(0)),
        Event::Rollback(4, 4),
        Event::Reuse(0, Toggle(0)),
        Event::Retry(0),
        Event::Wait(15),
    ];
    assert_eq!(play(&story, 1_796_243_813).unwrap(), Ok(()));
}
