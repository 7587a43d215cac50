//! Open cases: requests that had begun where a connection broke, before anybody knows more.
//!
//! Where something in front of an upstream accepts connections for it, or its VM lost power, its
//! end shows only in the list, seconds later. A request that is sent on meanwhile ends one more
//! upstream each time, and a node that is killed meanwhile takes what it saw with it. So a case
//! counts from the first moment on, and other nodes look into it as well.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::{CRASH_REPORT_PREFIX, Quarantine, UNCONFIRMED_CRASH_PREFIX, WATCHED};
use crate::clock::Millis;
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::poison::fingerprint::Fingerprint;
use crate::poison::ledger::{CrashReport, Suspect};

/// Time that a node has to report an end that others hear of from it, until the first of them does.
const REPORTED: Millis = Millis(1_000);

/// Pause between the nodes that report in its place, in their order: what one writes is known to
/// the next ones soon, so that few of hundreds write.
const TURN: Millis = Millis(400);

impl Quarantine {
    /// Whether a request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// [`Code::Quarantined`] when upstreams ended under it, or would be enough if those had ended
    /// of which nobody knows yet.
    pub fn check_send(&self, request: &Fingerprint) -> Result<(), Failure> {
        self.check(request)?;
        let now = self.clock.now();
        let state = self.view.state();
        let open = state.unconfirmed_crashes.involving(request, now);
        if open.is_empty() || !state.ledger.would_blame(request, &open) {
            return Ok(());
        }
        let detail = "connections to upstreams broke under it, which may have ended";
        Err(Failure::new(Code::Quarantined, detail).retry_after(WATCHED))
    }

    /// Looks into the cases that other nodes tell of, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let changed = self.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let told = self.view.state().unconfirmed_crashes.take_from_peers();
            for (name, report) in told {
                let quarantine = Arc::clone(&self);
                tokio::spawn(async move { quarantine.examine_told(&name, report).await });
            }
            changed.await;
        }
    }

    pub(super) fn open_case(&self, start: &Name, suspect: Suspect) {
        let now = self.clock.now();
        let report = CrashReport::new(Name::clone(start), [suspect]);
        let name = case(start, &self.node);
        self.view
            .state()
            .unconfirmed_crashes
            .add(&name, &report, now);
    }

    pub(super) fn close_case(&self, start: &Name, node: &str) {
        self.view
            .state()
            .unconfirmed_crashes
            .remove(&case(start, node));
    }

    /// Tells other nodes of a case that nothing but the list can decide.
    pub(super) fn tell_case(self: &Arc<Self>, start: &Name) {
        let name = case(start, &self.node);
        let Some(report) = self.view.state().unconfirmed_crashes.get(&name) else {
            return;
        };
        let outbox = Arc::clone(&self.outbox);
        tokio::spawn(async move { outbox.broadcast(&name, &report).await });
    }

    /// Looks into another node's case, and reports the end if that node doesn't.
    async fn examine_told(&self, name: &Name, report: CrashReport) {
        let node = name.rsplit('/').next().unwrap_or_default();
        if let Some(upstream) = self.upstream_of(&report.upstream)
            && self.list_shows_end(&upstream).await
        {
            tokio::time::sleep((REPORTED + self.turn(name)).duration()).await;
            if !self.is_reported(&report.upstream, node) {
                log::info!(
                    upstream = &*upstream.incarnation;
                    "quarantine: reports an end for {node}"
                );
                self.report(&upstream, node, report.suspects);
            }
        }
        self.view.state().unconfirmed_crashes.remove(name);
    }

    fn upstream_of(&self, start: &str) -> Option<Arc<Upstream>> {
        let state = self.view.state();
        let mut upstreams = state.upstreams.values();
        upstreams.find(|one| *one.start_id() == *start).cloned()
    }

    fn is_reported(&self, start: &str, node: &str) -> bool {
        let name = format!("{CRASH_REPORT_PREFIX}{start}/{node}");
        self.view.state().ledger.suspects_in(&name).next().is_some()
    }

    /// Returns when this node reports in the place of another one.
    fn turn(&self, name: &str) -> Millis {
        let state = self.view.state();
        let rank = |node: &str| xxh3_64(format!("{name}/{node}").as_bytes());
        let own = rank(&self.node);
        let before = state.nodes.keys().filter(|node| rank(node) < own).count();
        Millis(TURN.0 * u64::try_from(before).unwrap_or(u64::MAX))
    }
}

fn case(start: &str, node: &str) -> Name {
    format!("{UNCONFIRMED_CRASH_PREFIX}{start}/{node}").into()
}
