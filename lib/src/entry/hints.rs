//! A brief memory of upstreams that refused or broke.
//!
//! It only changes the order in which upstreams are tried, so a wrong or old
//! hint costs a detour and never an answer.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::error::{Code, Failure, Fate};
use crate::name::Name;
use crate::request::Class;

/// Shortest memory of a refusal.
const MIN: Millis = Millis(100);

/// Longest memory of a refusal, whatever the refusal itself asks for.
const MAX: Millis = Millis::from_secs(2);

/// Most hints kept; more than a fleet's upstreams times the classes.
const CAPACITY: usize = 2_048;

/// Refusals of late, by upstream and class.
#[derive(Debug, Default)]
pub struct Hints {
    until: HashMap<(Name, Class), Millis>,
}

impl Hints {
    /// Notes how a try at an upstream failed.
    pub fn note(&mut self, upstream: &Name, class: Class, failure: &Failure, now: Millis) {
        let span = failure.retry_after.unwrap_or(MIN).clamp(MIN, MAX);
        if concerns_class(failure.code) {
            self.keep((Name::clone(upstream), class), now + span, now);
        } else if concerns_upstream(failure) {
            for class in Class::ALL {
                self.keep((Name::clone(upstream), class), now + span, now);
            }
        }
    }

    /// Returns whether the upstream refused requests of the class a short while ago.
    #[must_use]
    pub fn refused(&self, upstream: &Name, class: Class, now: Millis) -> bool {
        !self.until.is_empty()
            && self
                .until
                .get(&(Name::clone(upstream), class))
                .is_some_and(|until| now < *until)
    }

    fn keep(&mut self, key: (Name, Class), until: Millis, now: Millis) {
        if self.until.len() >= CAPACITY {
            self.until.retain(|_, until| now < *until);
        }
        if self.until.len() < CAPACITY {
            self.until.insert(key, until);
        }
    }
}

/// Whether other classes may still be taken.
fn concerns_class(code: Code) -> bool {
    matches!(
        code,
        Code::QueueFull | Code::DeadlineTooShort | Code::Brownout
    )
}

/// Whether the upstream or the way to it is at fault, and not the request.
fn concerns_upstream(failure: &Failure) -> bool {
    matches!(
        failure.code,
        Code::NotOwner
            | Code::PeerUnreachable
            | Code::UpstreamLeaving
            | Code::UpstreamRefused
            | Code::ConnectFailed
            | Code::Draining
            | Code::NodeFull
    ) || (failure.fate() == Fate::Unknown && failure.code != Code::ExpiredRunning)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn refused_by_class() {
        let mut hints = Hints::default();
        let name = Name::from("e1");
        let full = Failure::new(Code::QueueFull, "").retry_after(Millis::from_secs(60));
        hints.note(&name, Class::Bulk, &full, Millis(0));
        assert!(hints.refused(&name, Class::Bulk, Millis(1_999)));
        assert!(!hints.refused(&name, Class::Urgent, Millis(0)));
        assert!(!hints.refused(&name, Class::Bulk, Millis(2_000)));
    }

    #[test]
    fn note_bounded() {
        let mut hints = Hints::default();
        let lost = Failure::new(Code::UpstreamLost, "");
        for number in 0..CAPACITY {
            hints.note(&format!("e{number}").into(), Class::Bulk, &lost, Millis(0));
        }
        assert_eq!(hints.until.len(), CAPACITY);
    }
}
