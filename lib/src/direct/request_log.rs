//! Logs one line for each decision about a request.
//!
//! An engineer on call starts from a request's id alone. Each line carries the id, the data that
//! the decision rested on with its age, and the outcome with its numeric code. No line contains a
//! prompt, a body or a header of the caller.

use super::attempt::SendError;
use super::budget::Usage;
use super::controllers::OriginSearch;
use super::orders::LoadOutcome;
use super::request::ActiveRequest;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::error::{Code, Failure};

/// How a request ended.
#[derive(Debug)]
pub enum RequestOutcome<'a> {
    /// The upstream's complete response was forwarded, with this status.
    Answered(u16),
    /// It was refused or failed before any of a response was sent to the caller.
    Failed(&'a Failure),
    /// The response was aborted after part of it was sent, for this reason.
    Aborted(&'a str),
    /// The caller disconnected.
    CallerGone,
}

impl RequestOutcome<'_> {
    /// Returns the numeric code; 0 is a complete response.
    #[must_use]
    pub fn code(&self) -> u32 {
        match self {
            Self::Answered(_) => 0,
            Self::Failed(failure) => failure.code.number(),
            Self::Aborted(_) => Code::AnswerCut.number(),
            Self::CallerGone => Code::CallerGoneRunning.number(),
        }
    }

    fn cause(&self) -> String {
        match self {
            Self::Answered(status) => format!("status {status}"),
            Self::Failed(failure) => failure.detail.clone(),
            Self::Aborted(cause) => (*cause).to_owned(),
            Self::CallerGone => "the caller went away".to_owned(),
        }
    }
}

/// Logs that a request is sent.
///
/// The newest version known and its age show whether an older version was chosen although the node
/// knew of a newer one. The age of the list and the upstream's stage show the same for an upstream
/// that had left. The event after which a stream resumes, the caller's attempt that it resumes and
/// the upstream's software version show whether it stays with the software that began it. `counted`
/// tells whether another node can know of the request: the upstream's owner admitted it.
pub fn sent(
    request: &ActiveRequest,
    upstream: &Upstream,
    version: Option<u64>,
    resume_after: Option<u64>,
    left: Millis,
    counted: bool,
) {
    let adapter = request.message.metadata.adapter();
    let newest = adapter.and_then(|adapter| request.frontend.view.newest(adapter));
    if upstream.is_missing() {
        request.frontend.metrics.doubted_sends.inc();
    }
    log::info!(
        request = request.id(),
        upstream = &*upstream.incarnation,
        software = &*upstream.software,
        after_event = resume_after.unwrap_or_default(),
        resumes = request.message.metadata.resumes.as_deref().unwrap_or_default(),
        adapter = adapter.map_or("", |adapter| adapter),
        version = version.unwrap_or_default(),
        newest = newest.map_or(0, |newest| newest.version),
        newest_age_ms = newest.map_or(0, |newest| {
            let since = newest.since.unwrap_or_default();
            request.now().since(since).0
        }),
        load = upstream.total_running(),
        counted = counted,
        reader = request.frontend.roles(&request.pool).is_prefill(upstream.address),
        tokens = request.message.metadata.tokens.map_or(0, |(prompt, _)| prompt),
        load_age_ms = request.now().since(upstream.remote_load_at()).0,
        list_age_ms = request.now().since(request.frontend.view.as_of()).0,
        stage = upstream.stage().name(),
        passed_ms = request.now().since(request.arrived_at).0,
        left_ms = left.0;
        "request: sent"
    );
}

/// Logs that a retry is taken from the budget, with what the budget held before it.
pub fn retry_taken(request: &ActiveRequest, before: Usage) {
    log::info!(
        request = request.id(),
        pool = &*request.pool,
        requests = before.requests,
        retries = before.retries,
        limit = before.limit,
        nodes = request.frontend.view.state().max_nodes_seen;
        "request: retry"
    );
}

/// Logs that a send got no response.
pub fn send_failed(request: &ActiveRequest, upstream: &Upstream, error: &SendError) {
    let code = match error {
        SendError::Unsent(_) | SendError::AtLimit(_) => Code::ConnectFailed,
        SendError::Rejected { .. } => Code::UpstreamRefused,
        SendError::Withdrawn { .. } => Code::VersionReplaced,
        SendError::Lost(code, _) => *code,
    };
    let cause = error.cause();
    let counted = matches!(error, SendError::Rejected { counted: true, .. });
    log::info!(
        request = request.id(),
        upstream = &*upstream.incarnation,
        counted = counted,
        outcome = error.name(),
        code = code.number(),
        cause = cause.as_str(),
        passed_ms = request.now().since(request.arrived_at).0;
        "request: missed"
    );
}

/// A request's wait for an engine to load its adapter, logged when it ends.
///
/// It is logged on drop, so that the line also appears when the caller disconnects meanwhile;
/// nothing else would show what the request was waiting for.
#[derive(Debug)]
pub struct LoadAttempt<'a> {
    request: &'a ActiveRequest,
    upstream: &'a Upstream,
    adapter: &'a str,
    started_at: Millis,
    outcome: &'static str,
}

impl<'a> LoadAttempt<'a> {
    /// Starts the wait.
    #[must_use]
    pub fn new(request: &'a ActiveRequest, upstream: &'a Upstream, adapter: &'a str) -> Self {
        Self {
            request,
            upstream,
            adapter,
            started_at: request.now(),
            outcome: "given_up",
        }
    }

    /// Records the outcome and returns how long it took.
    #[must_use]
    pub fn finish(mut self, loaded: LoadOutcome) -> Millis {
        self.outcome = loaded.name();
        self.request.now().since(self.started_at)
    }
}

impl Drop for LoadAttempt<'_> {
    fn drop(&mut self) {
        let loads = &self.request.frontend.metrics.loads;
        loads.with_label_values(&[self.outcome]).inc();
        log::info!(
            request = self.request.id(),
            upstream = &*self.upstream.incarnation,
            adapter = self.adapter,
            outcome = self.outcome,
            took_ms = self.request.now().since(self.started_at).0;
            "request: asked for the adapter"
        );
    }
}

/// Logs that a moved run resumed at another engine, or why it could not, and how long that took.
pub fn run_moved(
    request: &ActiveRequest,
    to: &Upstream,
    after: Option<u64>,
    error: Option<&SendError>,
    took: Millis,
) {
    let cause = error.map(SendError::cause).unwrap_or_default();
    log::info!(
        request = request.id(),
        upstream = &*to.incarnation,
        after_event = after.unwrap_or_default(),
        outcome = error.map_or("goes on", SendError::name),
        cause = cause.as_str(),
        took_ms = took.0;
        "handover: moved"
    );
}

/// Logs how the origin of a stream that its caller resumes was found, and where it began.
pub fn origin_found(request: &ActiveRequest, search: &OriginSearch) {
    let metadata = &request.message.metadata;
    let origin = search.origin();
    log::info!(
        request = request.id(),
        resumes = metadata.resumes.as_deref().unwrap_or_default(),
        after_event = metadata.resume_after.unwrap_or_default(),
        origin = search.name(),
        pool = origin.map_or("", |origin| &origin.pool),
        software = origin.map_or("", |origin| &origin.software);
        "request: resumes a stream"
    );
}

/// Logs that a stream resumes at another upstream.
pub fn resumed(request: &ActiveRequest, after: Option<u64>, cause: &str) {
    log::info!(
        request = request.id(),
        after_event = after.unwrap_or_default(),
        cause = cause;
        "relay: goes on elsewhere"
    );
}

/// Logs that the request stays at a silent upstream because no better one was found.
pub fn stays(request: &ActiveRequest, upstream: &Upstream) {
    log::info!(
        request = request.id(),
        upstream = &*upstream.incarnation,
        passed_ms = request.now().since(request.arrived_at).0;
        "request: stays"
    );
}

/// Logs the outcome of a request.
pub fn ended(request: &ActiveRequest, outcome: &RequestOutcome<'_>) {
    let cause = outcome.cause();
    log::info!(
        request = request.id(),
        route = &*request.route.name,
        pool = &*request.pool,
        config = request.config_version,
        code = outcome.code(),
        cause = cause.as_str(),
        sent = request.possible_runs(),
        first_ms = request.timing.first_event.map_or(0, |first| first.0),
        pause_ms = request.timing.longest_gap.0,
        pause_after = request.timing.chunks_before_longest_gap,
        pieces = request.timing.chunks,
        moved = request.timing.handovers,
        passed_ms = request.now().since(request.arrived_at).0,
        allowed_ms = request.deadline.since(request.arrived_at).0;
        "request: ended"
    );
}

/// Logs a request that was refused before a pool was selected for it.
pub fn refused(id: &str, failure: &Failure) {
    log::info!(
        request = id,
        code = failure.code.number(),
        cause = failure.detail.as_str();
        "entry: turned away"
    );
}
