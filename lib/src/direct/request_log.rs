//! One line for each decision that touches a request.
//!
//! Engineers on call have nothing but a request's id. Each line carries it, what
//! decided, how old that was, and the outcome with its numbered code. No line
//! holds a prompt, a body or a header of the caller.

use super::attempt::SendError;
use super::orders::LoadOutcome;
use super::request::ActiveRequest;
use super::upstream::Upstream;
use crate::clock::Millis;
use crate::error::{Code, Failure};

/// How a request ended.
#[derive(Debug)]
pub enum RequestOutcome<'a> {
    /// The upstream's answer was passed on whole.
    Answered(u16),
    /// It was refused or failed before a byte of an answer left.
    Failed(&'a Failure),
    /// The answer broke off on its way.
    Cut(&'a str),
    /// The caller went away.
    Left,
}

impl RequestOutcome<'_> {
    /// Returns the numbered code; 0 is a whole answer.
    #[must_use]
    pub fn code(&self) -> u32 {
        match self {
            Self::Answered(_) => 0,
            Self::Failed(failure) => failure.code.number(),
            Self::Cut(_) => Code::AnswerCut.number(),
            Self::Left => Code::CallerGoneRunning.number(),
        }
    }

    fn told(&self) -> String {
        match self {
            Self::Answered(status) => format!("status {status}"),
            Self::Failed(failure) => failure.detail.clone(),
            Self::Cut(told) => (*told).to_owned(),
            Self::Left => "the caller went away".to_owned(),
        }
    }
}

/// Records that a request is sent.
///
/// The newest version that this node knows of, and for how long, tell whether an older one was
/// chosen knowingly; the age of the list and whether the upstream is missing from it, whether one
/// that had left was.
pub fn sent(request: &ActiveRequest, upstream: &Upstream, version: Option<u64>, left: Millis) {
    let adapter = request.message.metadata.adapter();
    let newest = adapter.and_then(|adapter| request.frontend.view.newest(adapter));
    if upstream.is_missing() {
        request.frontend.metrics.doubted_sends.inc();
    }
    log::info!(
        request = request.id(),
        upstream = &*upstream.incarnation,
        adapter = adapter.map_or("", |adapter| adapter),
        version = version.unwrap_or_default(),
        newest = newest.map_or(0, |newest| newest.version),
        newest_age_ms = newest.map_or(0, |newest| {
            let since = newest.since.unwrap_or_default();
            request.now().since(since).0
        }),
        load = upstream.total_running(),
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

/// Records that an attempt gave no answer.
pub fn missed(request: &ActiveRequest, upstream: &Upstream, miss: &SendError) {
    let (code, told) = match miss {
        SendError::Unsent(told) => (Code::ConnectFailed, told.clone()),
        SendError::Rejected { status, .. } => (Code::UpstreamRefused, format!("status {status}")),
        SendError::Withdrawn { sent } => {
            let told = format!("a newer version was declared, sent={sent}");
            (Code::VersionReplaced, told)
        }
        SendError::Lost(code, told) => (*code, told.clone()),
    };
    log::info!(
        request = request.id(),
        upstream = &*upstream.incarnation,
        outcome = miss.name(),
        code = code.number(),
        cause = told.as_str(),
        passed_ms = request.now().since(request.arrived_at).0;
        "request: missed"
    );
}

/// A question for an adapter at an engine, recorded when it ends.
///
/// A caller may leave while it waits; without a line then, nothing tells where it waited.
#[derive(Debug)]
pub struct LoadAttempt<'a> {
    request: &'a ActiveRequest,
    upstream: &'a Upstream,
    adapter: &'a str,
    began: Millis,
    outcome: &'static str,
}

impl<'a> LoadAttempt<'a> {
    /// Begins to ask.
    #[must_use]
    pub fn new(request: &'a ActiveRequest, upstream: &'a Upstream, adapter: &'a str) -> Self {
        Self {
            request,
            upstream,
            adapter,
            began: request.now(),
            outcome: "given_up",
        }
    }

    /// Notes the answer, and returns how long it took.
    #[must_use]
    pub fn finish(mut self, loaded: LoadOutcome) -> Millis {
        self.outcome = loaded.name();
        self.request.now().since(self.began)
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
            took_ms = self.request.now().since(self.began).0;
            "request: asked for the adapter"
        );
    }
}

/// Records that a run is moved to another engine, or that it could not go on there.
pub fn moved(request: &ActiveRequest, to: &Upstream, after: Option<u64>, outcome: &str) {
    log::info!(
        request = request.id(),
        upstream = &*to.incarnation,
        after_event = after.unwrap_or_default(),
        outcome = outcome;
        "handover: moved"
    );
}

/// Records that a stream goes on at another upstream.
pub fn resumed(request: &ActiveRequest, after: Option<u64>, cause: &str) {
    log::info!(
        request = request.id(),
        after_event = after.unwrap_or_default(),
        cause = cause;
        "relay: goes on elsewhere"
    );
}

/// Records that nothing better than an upstream that is silent was found.
pub fn stays(request: &ActiveRequest, upstream: &Upstream) {
    log::info!(
        request = request.id(),
        upstream = &*upstream.incarnation,
        passed_ms = request.now().since(request.arrived_at).0;
        "request: stays"
    );
}

/// Records how a request ended.
pub fn ended(request: &ActiveRequest, end: &RequestOutcome<'_>) {
    let cause = end.told();
    log::info!(
        request = request.id(),
        route = &*request.route.name,
        pool = &*request.pool,
        config = request.config_version,
        code = end.code(),
        cause = cause.as_str(),
        sent = request.possible_runs(),
        first_ms = request.timing.first.map_or(0, |first| first.0),
        pause_ms = request.timing.longest.0,
        pause_after = request.timing.longest_after,
        pieces = request.timing.pieces,
        moved = request.timing.moved,
        passed_ms = request.now().since(request.arrived_at).0,
        allowed_ms = request.deadline.since(request.arrived_at).0;
        "request: ended"
    );
}

/// Records a request that was refused before it had a way.
pub fn turned_away(id: &str, failure: &Failure) {
    log::info!(
        request = id,
        code = failure.code.number(),
        cause = failure.detail.as_str();
        "entry: turned away"
    );
}
