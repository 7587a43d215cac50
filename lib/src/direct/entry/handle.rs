//! Handles a caller's request from its arrival to the response.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock, PoisonError};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, StreamBody};

use super::accept::{accept, select_pool};
use super::response::{error_response, full_response, response_head};
use super::{Body, Frontend};
use crate::buffer::{self, Incomplete, Reservation};
use crate::clock::Millis;
use crate::direct::attempt::{MAX_BUFFERED_BODY_BYTES, RequestMessage, UpstreamResponse};
use crate::direct::relay::{self, ResponseAborted};
use crate::direct::request::ActiveRequest;
use crate::direct::request_log::{self, RequestOutcome};
use crate::direct::used_connections::UsedConnections;
use crate::error::{Code, Failure};
use crate::overload::Overload;
use crate::poison::report::Suspicion;
use crate::ports::http::remove_hop_by_hop;

/// Timeout of a request whose caller names none.
const DEFAULT_TIMEOUT: Millis = Millis::from_secs(30);

/// `Retry-After` of a node that has no configuration yet.
const NOT_READY_RETRY_AFTER: Millis = Millis(300);

/// `Retry-After` of a request that left its connection to others while its body arrived.
const NO_CONNECTION_RETRY_AFTER: Millis = Millis(1_000);

/// `Retry-After` of a route whose pools all have weight zero.
const NO_POOL_RETRY_AFTER: Millis = Millis(1_000);

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
struct ActiveGuard(Arc<Frontend>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response that can be sent to the caller.
enum ReadyResponse {
    /// The head has arrived; the events are forwarded as they arrive.
    Stream(Box<UpstreamResponse>),
    /// The complete body has arrived.
    Full(Response<Body>),
}

impl Frontend {
    /// Handles a caller's request.
    ///
    /// # Errors
    ///
    /// Never before the head is sent; the body can end with [`ResponseAborted`].
    pub async fn handle<B>(
        self: Arc<Self>,
        request: Request<B>,
    ) -> Result<Response<Body>, ResponseAborted>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
    {
        self.active.fetch_add(1, Ordering::Relaxed);
        let active = ActiveGuard(Arc::clone(&self));
        let mut response = match self.serve(request).await {
            Ok(response) => response,
            Err(failure) => error_response(&failure),
        };
        // Requests on open connections can't be refused unread.
        let is_overloaded = Overload::of(&self.view.delays, self.clock.now()).is_some();
        if self.drain.is_draining() || is_overloaded {
            response
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        // The guard lives in the body, so the request counts until the body is sent or dropped.
        Ok(response.map(|body| {
            body.map_frame(move |frame| {
                let _ = &active;
                frame
            })
            .boxed_unsync()
        }))
    }

    async fn serve<B>(self: &Arc<Self>, request: Request<B>) -> Result<Response<Body>, Failure>
    where
        B: http_body::Body<Data = Bytes> + Unpin,
    {
        let arrived_at = self.clock.now();
        let (head, body) = request.into_parts();
        let config = self.view.config().ok_or_else(|| {
            let failure = Failure::new(Code::NotReady, "no configuration is known yet")
                .retry_after(NOT_READY_RETRY_AFTER);
            request_log::refused("", &failure);
            self.count_outcome(failure.code.number());
            failure
        })?;
        let metadata = self.dialect.request_metadata(&head);
        let limit = buffer::Limit::new(self.limits.get().body_memory);
        let limit = limit.fitting(config.limits.body_bytes);
        let mut memory = self.bodies.reserve(limit);
        let accepted = tokio::select! {
            biased;
            accepted = accept(&config, &head, body, &mut memory) => accepted,
            failure = self.make_way(arrived_at, config.limits.head_timeout) => Err(failure),
        };
        let (route, body) = match accepted {
            Ok(accepted) => accepted,
            Err(failure) => {
                request_log::refused(metadata.id.as_deref().unwrap_or_default(), &failure);
                self.count_outcome(failure.code.number());
                return Err(failure);
            }
        };
        let timeout = metadata.deadline.unwrap_or(DEFAULT_TIMEOUT);
        let deadline = arrived_at + timeout.min(route.timeout.unwrap_or(Millis::MAX));
        let pool = select_pool(route).ok_or_else(|| {
            Failure::new(Code::NoUpstream, "no pool of the route has a weight")
                .retry_after(NO_POOL_RETRY_AFTER)
        })?;
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_request(&pool, arrived_at);
        let mut headers = head.headers;
        remove_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let message = RequestMessage {
            method: head.method,
            uri: head.uri,
            headers,
            body,
            memory,
            metadata,
            kind: route.kind,
            subjects: OnceLock::new(),
            used_connections: UsedConnections::default(),
        };
        let request = ActiveRequest::new(
            Arc::clone(self),
            message,
            route.clone(),
            pool,
            arrived_at,
            deadline,
            config.version,
        );
        self.respond(request).await
    }

    /// Waits until a request that is still arriving has to leave its connection to others.
    ///
    /// Bodies have more time than heads, and a crowd that sends them slowly would hold all
    /// connections for that long.
    async fn make_way(&self, arrived_at: Millis, spared: Millis) -> Failure {
        loop {
            self.connections_full.notified().await;
            if self.clock.now().since(arrived_at) >= spared {
                return Failure::new(
                    Code::NodeFull,
                    "callers hold all connections, and the body isn't whole",
                )
                .retry_after(NO_CONNECTION_RETRY_AFTER);
            }
        }
    }

    async fn respond(&self, mut request: ActiveRequest) -> Result<Response<Body>, Failure> {
        let ready = tokio::select! {
            biased;
            ready = self.ready_response(&mut request) => ready,
            () = self.drain.aborted() => Err(self.abort(&request)),
        };
        match ready {
            Ok(ReadyResponse::Full(response)) => {
                request.finish(&RequestOutcome::Answered(response.status().as_u16()));
                Ok(response)
            }
            Ok(ReadyResponse::Stream(response)) => {
                let head = response_head(&response);
                let body = StreamBody::new(relay::stream_body(request, *response));
                Ok(Response::from_parts(head, body.boxed_unsync()))
            }
            Err(failure) => {
                request.finish(&RequestOutcome::Failed(&failure));
                Err(failure)
            }
        }
    }

    /// Obtains the head of a stream, or a complete response.
    async fn ready_response(&self, request: &mut ActiveRequest) -> Result<ReadyResponse, Failure> {
        request.bind_resumed().await?;
        let response = request.next_response(None).await?;
        if request.message.kind.is_streaming() && response.head.status.is_success() {
            return Ok(ReadyResponse::Stream(Box::new(response)));
        }
        self.read_full(request, response)
            .await
            .map(ReadyResponse::Full)
    }

    /// Returns the failure of a request that the drain aborts.
    fn abort(&self, request: &ActiveRequest) -> Failure {
        if request.possible_runs() == 0 {
            return Failure::new(Code::Draining, "the node stops");
        }
        self.drain.count_aborted();
        Failure::new(Code::ExpiredRunning, "no answer before the node stops")
    }

    /// Returns memory for a response that is read whole, of zero bytes so far.
    fn response_memory(&self) -> Reservation {
        let limit = buffer::Limit::new(self.limits.get().response_memory);
        self.responses
            .reserve(limit.fitting(MAX_BUFFERED_BODY_BYTES))
    }

    /// Reads a response to its end before any of it is forwarded.
    ///
    /// A response that breaks off can so be requested again.
    async fn read_full(
        &self,
        request: &mut ActiveRequest,
        mut response: UpstreamResponse,
    ) -> Result<Response<Body>, Failure> {
        loop {
            let head = response_head(&response);
            let upstream = Arc::clone(&response.upstream);
            let left = request.deadline.since(request.now());
            let mut memory = self.response_memory();
            let body = response.read_body(&mut memory);
            let incomplete = match tokio::time::timeout(left.duration(), body).await {
                Ok(Ok((_, body))) => {
                    request.record_harmless_run(request.sent_at);
                    return Ok(full_response(head, buffer::hold(body, memory)));
                }
                Ok(Err(incomplete)) => incomplete,
                Err(_) => {
                    return Err(Failure::new(
                        Code::ExpiredRunning,
                        "the deadline has passed",
                    ));
                }
            };
            drop(memory);
            request.penalize(&upstream);
            let cause = match incomplete {
                Incomplete::Broken(error) => {
                    request.record_broken_connection(&upstream, Suspicion::Begun);
                    error.to_string()
                }
                Incomplete::TooLarge => {
                    format!("it is larger than {MAX_BUFFERED_BODY_BYTES} bytes")
                }
                // The request may have run, so this isn't a rejection with that code.
                Incomplete::NoRoom(failure) => failure.detail,
            };
            if !request.may_retry() {
                return Err(Failure::new(Code::AnswerCut, cause));
            }
            self.count_retry("cut");
            response = request.next_response(None).await?;
        }
    }
}
