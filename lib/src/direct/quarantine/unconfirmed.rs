//! Unconfirmed crashes: a connection broke under a running request, and the upstream may have
//! crashed.
//!
//! If a proxy accepts connections for an upstream, or its VM lost power, only the upstream list
//! shows the crash, seconds later. A request that is sent on in the meantime crashes one more
//! upstream each time, and what a node saw is lost if it is killed. An unconfirmed crash therefore
//! counts at once, and other nodes check it as well.

use std::sync::Arc;

use super::{CRASH_REPORT_PREFIX, LIST_WATCH_TIME, Quarantine, UNCONFIRMED_CRASH_PREFIX};
use crate::clock::Millis;
use crate::direct::upstream::Upstream;
use crate::direct::view::State;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::poison::report::{CrashReport, Suspect};
use crate::poison::subjects::Subjects;

/// Time that a node has to report a crash that it told others of, before the first of them
/// reports it instead.
const REPORTER_TIME: Millis = Millis(1_000);

/// Delay between one node and the next that report in its place.
///
/// The next nodes soon see what one has written, so that only a few of hundreds write.
const REPORT_STAGGER: Millis = Millis(400);

impl Quarantine {
    /// Checks that a request may be sent to an upstream.
    ///
    /// # Errors
    ///
    /// As [`check`](Self::check), also if the request would be blamed if all unconfirmed crashes
    /// were confirmed.
    pub fn check_send(&self, subjects: &Subjects) -> Result<(), Failure> {
        self.check(subjects)?;
        let now = self.clock.now();
        let mut state = self.view.state();
        let State {
            ledger,
            unconfirmed_crashes,
            ..
        } = &mut *state;
        if unconfirmed_crashes.is_empty() || !ledger.would_blame(subjects, unconfirmed_crashes, now)
        {
            return Ok(());
        }
        let detail = "connections to upstreams broke under it, which may have ended";
        Err(Failure::new(Code::Quarantined, detail).retry_after(LIST_WATCH_TIME))
    }

    /// Checks the unconfirmed crashes that other nodes report, and clears what this node refutes,
    /// until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let changed = self.view.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let from_peers = self.view.state().unconfirmed_crashes.take_from_peers();
            for (name, report) in from_peers {
                let quarantine = Arc::clone(&self);
                tokio::spawn(async move { quarantine.check_for_peer(&name, report).await });
            }
            self.tell_refutations();
            changed.await;
        }
    }

    pub(super) fn add_unconfirmed(&self, start: &Name, suspect: Suspect) {
        let now = self.clock.now();
        let report = CrashReport::new(Name::clone(start), [suspect]);
        let name = record_name(start, &self.node);
        self.view
            .state()
            .unconfirmed_crashes
            .add(&name, &report, now);
    }

    pub(super) fn remove_unconfirmed(&self, start: &Name, node: &str) {
        self.view
            .state()
            .unconfirmed_crashes
            .remove(&record_name(start, node));
    }

    /// Sends an unconfirmed crash that only the upstream list can confirm to all other nodes.
    pub(super) fn broadcast_unconfirmed(self: &Arc<Self>, start: &Name) {
        let name = record_name(start, &self.node);
        let Some(report) = self.view.state().unconfirmed_crashes.get(&name) else {
            return;
        };
        let outbox = Arc::clone(&self.outbox);
        tokio::spawn(async move { outbox.broadcast(&name, &report).await });
    }

    /// Checks another node's unconfirmed crash, and reports it if that node doesn't.
    async fn check_for_peer(&self, name: &Name, report: CrashReport) {
        let node = name.rsplit('/').next().unwrap_or_default();
        if let Some(upstream) = self.upstream_by_start(&report.upstream)
            && self.list_shows_crash(&upstream).await
        {
            tokio::time::sleep((REPORTER_TIME + self.report_delay(name)).duration()).await;
            if !self.is_reported(&report.upstream, node) {
                log::info!(
                    upstream = &*upstream.incarnation;
                    "quarantine: reporting a crash in place of {node}"
                );
                self.report_crash(&upstream, node, report.suspects);
            }
        }
        self.view.state().unconfirmed_crashes.remove(name);
    }

    fn upstream_by_start(&self, start: &str) -> Option<Arc<Upstream>> {
        let state = self.view.state();
        let mut upstreams = state.upstreams.values();
        upstreams.find(|one| *one.start_id() == *start).cloned()
    }

    fn is_reported(&self, start: &str, node: &str) -> bool {
        let name = format!("{CRASH_REPORT_PREFIX}{start}/{node}");
        self.view.state().ledger.suspects_in(&name).next().is_some()
    }

    /// Returns how long this node waits for others that report in the place of the same node.
    fn report_delay(&self, name: &str) -> Millis {
        let before = u64::try_from(self.rank(name)).unwrap_or(u64::MAX);
        Millis(REPORT_STAGGER.0.saturating_mul(before))
    }
}

fn record_name(start: &str, node: &str) -> Name {
    format!("{UNCONFIRMED_CRASH_PREFIX}{start}/{node}").into()
}
