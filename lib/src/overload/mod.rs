//! Decides how many new connections of callers a node serves, so that it serves what it reads.
//!
//! A node that reads everything, at any load, is late with all of it. A connection that is refused,
//! or closed before anything of it was read, costs its caller one attempt, and the next one meets
//! another node. See docs/design/0020-overload.md.

pub mod delays;

use self::delays::Delays;
use crate::clock::{Clock, Millis};

/// Connections that are taken in a row before other tasks run.
pub const MAX_CONNECTIONS_IN_A_ROUND: usize = 16;

/// Longest wait of tasks that are ready with which new connections are served.
const MAX_SCHEDULING_DELAY: Millis = Millis(20);

/// The same for the time by which all round trips take longer than the fastest did.
const MAX_LINK_DELAY: Millis = Millis(30);

/// One connection is served in this time at least, whatever the load.
///
/// The balancer must not find a node closed for long, and delays end unnoticed if nothing is served.
const MIN_SERVE_INTERVAL: Millis = Millis(250);

/// Time in which the number of connections that are served in a round doubles, until the node is
/// late again; later it grows by one in this time.
const GROWTH_INTERVAL: Millis = Millis(100);

/// How long the connections of a round are limited after an overload, or after a round that served
/// as many as it might.
const LIMIT_TIME: Millis = Millis(1_000);

/// What a node has too much of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// Tasks that are ready wait for the processor.
    Processor,
    /// Round trips to all other processes are slow.
    Link,
    /// Callers hold as many connections as they may.
    Connections,
}

impl Overload {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor",
            Self::Link => "link",
            Self::Connections => "connections",
        }
    }

    /// Returns what delays tell.
    #[must_use]
    pub fn of(delays: &Delays, now: Millis) -> Option<Self> {
        if delays.scheduling(now) > MAX_SCHEDULING_DELAY {
            return Some(Self::Processor);
        }
        (delays.link(now) > MAX_LINK_DELAY).then_some(Self::Link)
    }
}

/// Admission of new connections, in rounds between which the node's other tasks run.
#[derive(Debug, Default)]
pub struct Intake {
    limit: Option<Limit>,
    served: u32,
    last_served: Millis,
}

/// How many connections are served in a round, during an overload and behind it.
#[derive(Debug, Clone, Copy)]
struct Limit {
    overload: Overload,
    /// Whether nothing is served as the node is late now.
    is_late: bool,
    per_round: u32,
    is_doubling: bool,
    grown_at: Millis,
    /// When the node was late, or a round served as many as it might, for the last time.
    binding_at: Millis,
}

impl Intake {
    /// Lets other tasks run, and begins a round.
    ///
    /// The runtime polls sockets and timers before a task that yields runs again, so that the tasks
    /// which these make ready go before new connections. The connections of the last round are
    /// begun first; how long the tasks take that are ready after them is how late the node is.
    pub async fn next_round(&mut self, delays: &Delays, clock: &dyn Clock) {
        tokio::task::yield_now().await;
        let ready_at = clock.now();
        tokio::task::yield_now().await;
        let now = clock.now();
        delays.record_scheduling(now.since(ready_at), now);
        self.begin_round(delays, now);
    }

    /// Begins a round; other tasks have run since the last one.
    pub fn begin_round(&mut self, delays: &Delays, now: Millis) {
        let served = std::mem::take(&mut self.served);
        let overload = Overload::of(delays, now);
        let is_late = delays.last_scheduling() > MAX_SCHEDULING_DELAY;
        if let Some(limit) = &mut self.limit
            && served >= limit.per_round
        {
            limit.binding_at = now;
        }
        match (&mut self.limit, overload) {
            (None, None) => {}
            (None, Some(overload)) => {
                self.limit = Some(Limit {
                    overload,
                    is_late: true,
                    per_round: 1,
                    is_doubling: true,
                    grown_at: now,
                    binding_at: now,
                });
            }
            (Some(limit), overload) if overload.is_some() || is_late => {
                limit.overload = overload.unwrap_or(limit.overload);
                limit.binding_at = now;
                if !std::mem::replace(&mut limit.is_late, true) {
                    limit.per_round = (limit.per_round / 2).max(1);
                    limit.is_doubling = false;
                }
            }
            (Some(limit), _) if now.since(limit.binding_at) < LIMIT_TIME => {
                let was_late = std::mem::replace(&mut limit.is_late, false);
                if was_late {
                    limit.grown_at = now;
                } else if now.since(limit.grown_at) >= GROWTH_INTERVAL {
                    let growth = if limit.is_doubling {
                        limit.per_round
                    } else {
                        1
                    };
                    limit.per_round = limit.per_round.saturating_add(growth);
                    limit.grown_at = now;
                }
            }
            (Some(_), _) => self.limit = None,
        }
    }

    /// Returns what the node has too much of, while the connections of a round are limited.
    #[must_use]
    pub fn overload(&self) -> Option<Overload> {
        self.limit.map(|limit| limit.overload)
    }

    /// Whether no further connection is served in this round.
    #[must_use]
    pub fn is_used_up(&self, now: Millis) -> bool {
        self.limit.is_some_and(|limit| {
            (limit.is_late || self.served >= limit.per_round)
                && now.since(self.last_served) < MIN_SERVE_INTERVAL
        })
    }

    /// Decides on a new connection: `None` if it is to be served.
    ///
    /// `open` is the number of connections that callers hold, of at most `max_open`.
    pub fn decide(&mut self, (open, max_open): (usize, usize), now: Millis) -> Option<Overload> {
        if open >= max_open {
            return Some(Overload::Connections);
        }
        if self.is_used_up(now) {
            return self.overload();
        }
        self.served += 1;
        self.last_served = now;
        None
    }
}
