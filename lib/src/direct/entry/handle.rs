//! A request from its first byte to its answer.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock, PoisonError};

use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;

use super::accept::{accept, choose};
use super::response::{refusal, response_head, whole_response};
use super::{Body, Frontend};
use crate::clock::Millis;
use crate::direct::attempt::{RequestMessage, UpstreamResponse};
use crate::direct::relay::{self, ResponseAborted};
use crate::direct::request::ActiveRequest;
use crate::direct::request_log::{self, RequestOutcome};
use crate::error::{Code, Failure};
use crate::poison::ledger::Suspicion;
use crate::ports::http::remove_hop_by_hop;

/// How long a caller's wait is assumed to be if nothing bounds it.
const USUAL_WAIT: Millis = Millis::from_secs(30);

/// When a caller should come back to a node that knows no configuration yet.
const UNREADY_PAUSE: Millis = Millis(300);

/// Counts a request in progress until it is dropped.
#[derive(Debug)]
struct Active(Arc<Frontend>);

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An answer as it begins.
enum Begun {
    /// Its head has come, and the rest is passed on as it comes.
    Stream(Box<UpstreamResponse>),
    /// All of it is there.
    Whole(Response<Body>),
}

impl Frontend {
    /// Answers a caller's request.
    ///
    /// # Errors
    ///
    /// Never before the head; the body can end in a [`ResponseAborted`].
    pub async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ResponseAborted> {
        self.active.fetch_add(1, Ordering::Relaxed);
        let active = Active(Arc::clone(&self));
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(failure) => refusal(&failure),
        };
        if self.drain.is_draining() {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        // The request counts until its body has left or the caller has gone.
        Ok(response.map(|body| {
            body.map_frame(move |frame| {
                let _ = &active;
                frame
            })
            .boxed_unsync()
        }))
    }

    async fn serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Failure> {
        let began = self.clock.now();
        let (head, body) = request.into_parts();
        let config = self.view.config().ok_or_else(|| {
            let failure = Failure::new(Code::NotReady, "no configuration is known yet")
                .retry_after(UNREADY_PAUSE);
            request_log::turned_away("", &failure);
            self.count_end(failure.code.number());
            failure
        })?;
        let metadata = self.dialect.request_metadata(&head);
        let (route, body) = match accept(&config, &head, body).await {
            Ok(accepted) => accepted,
            Err(failure) => {
                request_log::turned_away(metadata.id.as_deref().unwrap_or_default(), &failure);
                self.count_end(failure.code.number());
                return Err(failure);
            }
        };
        let wait = metadata.deadline.unwrap_or(USUAL_WAIT);
        let until = began + wait.min(route.timeout.unwrap_or(Millis::MAX));
        let pool = choose(route).ok_or_else(|| {
            Failure::new(Code::NoUpstream, "the route leads nowhere").retry_after(Millis(1_000))
        })?;
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_request(&pool, began);
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let message = RequestMessage {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            metadata,
            kind: route.kind,
            fingerprint: OnceLock::new(),
        };
        let request = ActiveRequest::new(
            Arc::clone(self),
            message,
            route.clone(),
            pool,
            began,
            until,
            config.version,
        );
        self.deliver(request).await
    }

    async fn deliver(&self, mut request: ActiveRequest) -> Result<Response<Body>, Failure> {
        let begun = tokio::select! {
            biased;
            begun = self.begin(&mut request) => begun,
            () = self.drain.aborted() => Err(self.cut_short(&request)),
        };
        match begun {
            Ok(Begun::Whole(response)) => {
                request.end(&RequestOutcome::Answered(response.status().as_u16()));
                Ok(response)
            }
            Ok(Begun::Stream(answer)) => {
                let head = response_head(&answer);
                let body = StreamBody::new(relay::stream_body(request, *answer));
                Ok(Response::from_parts(head, body.boxed_unsync()))
            }
            Err(failure) => {
                request.end(&RequestOutcome::Failed(&failure));
                Err(failure)
            }
        }
    }

    /// Has a request answered, as far as that goes before its caller gets a byte.
    async fn begin(&self, request: &mut ActiveRequest) -> Result<Begun, Failure> {
        let answer = request.answer(None).await?;
        if request.message.kind.is_streaming() && answer.head.status.is_success() {
            return Ok(Begun::Stream(Box::new(answer)));
        }
        self.whole(request, answer).await.map(Begun::Whole)
    }

    /// Returns what the caller gets whose request outlasts the node.
    fn cut_short(&self, request: &ActiveRequest) -> Failure {
        if request.possible_runs() == 0 {
            return Failure::new(Code::Draining, "the node stops");
        }
        self.drain.count_aborted();
        Failure::new(Code::ExpiredRunning, "no answer before the node stops")
    }

    /// Reads an answer whole before it is passed on, so that one that breaks off can be repeated.
    async fn whole(
        &self,
        request: &mut ActiveRequest,
        mut answer: UpstreamResponse,
    ) -> Result<Response<Body>, Failure> {
        loop {
            let head = response_head(&answer);
            let upstream = Arc::clone(&answer.upstream);
            let left = request.deadline.since(request.now());
            let told = match tokio::time::timeout(left.duration(), answer.whole()).await {
                Ok(Ok((_, body))) => {
                    request.survived();
                    return Ok(whole_response(head, body));
                }
                Ok(Err(miss)) => format!("{miss:?}"),
                Err(_) => return Err(Failure::new(Code::ExpiredRunning, "the time is up")),
            };
            request.blame(&upstream);
            request.broke(&upstream, Suspicion::Begun);
            if !request.may_go_on() {
                return Err(Failure::new(Code::AnswerCut, told));
            }
            self.count_retry("cut");
            answer = request.answer(None).await?;
        }
    }
}
