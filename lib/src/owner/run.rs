//! Runs an attempt that has been given its place.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::{self, BoxStream};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::{Method, StatusCode, response};
use tokio::time::Instant;

use super::body::{self, Body, Form};
use super::check::{self, Check};
use super::events::Events;
use super::place::{Outcome, Place};

use super::registry::Dependencies;
use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::membership::UpstreamOwnership;
use crate::ports::{Answer, Call, Engine, Service};
use crate::request::{Id, Ticket};
use crate::runner::{Attempt, Work};

/// Largest error message of an engine that is read.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// How long a request waited at its upstream's owner; an answer's extensions carry it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitTimes {
    /// In the queue, the load included.
    pub queued: Millis,
    /// For its adapter's load.
    pub load: Millis,
}

/// Where a granted request runs.
#[derive(Debug, Clone)]
pub(super) enum Target {
    /// A model engine.
    Engine(Arc<dyn Engine>),
    /// A plain service.
    Service(Arc<dyn Service>),
}

/// Leave to run a request now.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) target: Target,
    pub(super) ownership: UpstreamOwnership,
    pub(super) waits: WaitTimes,
}

/// A request made ready for its upstream, before it queues for a place.
///
/// What is wrong with it is found here, so that a bad request costs no place.
#[derive(Debug)]
pub(super) struct Order {
    id: Id,
    deadline: Millis,
    content: Content,
}

#[derive(Debug)]
enum Content {
    Completion {
        call: Box<Call>,
        check: Check,
        stream: bool,
    },
    Call {
        head: Box<http::request::Parts>,
        body: Bytes,
    },
}

impl Order {
    /// Makes an attempt ready.
    ///
    /// # Errors
    ///
    /// When the body doesn't name one model, or a completion has no adapter.
    pub(super) fn new(attempt: &Attempt) -> Result<Self, Failure> {
        let ticket = &attempt.ticket;
        Ok(Self {
            id: ticket.id.clone(),
            deadline: ticket.deadline,
            content: Content::new(ticket, &attempt.work)?,
        })
    }

    /// Runs it and returns the answer; the place is held until the answer's end.
    pub(super) async fn run(
        self,
        place: Place,
        grant: Grant,
        parts: &Dependencies,
    ) -> Result<Answer, Failure> {
        let left = self.deadline.since(parts.clock.now());
        let running = Running {
            place,
            deadline: Instant::now() + left.duration(),
            parts,
        };
        let mut answer = match (self.content, grant.target) {
            (
                Content::Completion {
                    call,
                    check,
                    stream,
                },
                Target::Engine(engine),
            ) => {
                let call = completion(&*engine, *call, &grant.ownership);
                running.completed(call, check, stream).await?
            }
            (Content::Call { head, body }, Target::Service(service)) => {
                let bodiless = head.method == Method::HEAD;
                let call = passed(&*service, *head, body, &grant.ownership);
                running.called(call, bodiless).await?
            }
            (_, _) => {
                running.place.end(Outcome::Refused);
                return Err(refused(&self.id, "the upstream is of another kind"));
            }
        };
        answer.head.extensions.insert(grant.waits);
        Ok(answer)
    }
}

impl Content {
    fn new(ticket: &Ticket, work: &Work) -> Result<Self, Failure> {
        match work {
            Work::Completion { path, body, stream } => {
                let adapter = ticket
                    .adapter
                    .as_ref()
                    .ok_or_else(|| refused(&ticket.id, "the template names no adapter"))?;
                Ok(Self::Completion {
                    call: Box::new(call(ticket, adapter, path, body)?),
                    check: Check::new(ticket, adapter),
                    stream: *stream,
                })
            }
            Work::Call { head, body } => Ok(Self::Call {
                head: head.clone(),
                body: body.clone(),
            }),
        }
    }
}

fn call(
    ticket: &Ticket,
    adapter: &Adapter,
    path: &Arc<str>,
    body: &Bytes,
) -> Result<Call, Failure> {
    Ok(Call {
        id: ticket.id.clone(),
        adapter: adapter.clone(),
        path: Arc::clone(path),
        body: check::addressed(body, adapter)?,
        priority: ticket.class as u32,
    })
}

/// Checks the hold and sends a completion, with nothing between the two.
async fn completion(
    engine: &dyn Engine,
    call: Call,
    ownership: &UpstreamOwnership,
) -> Result<Answer, Failure> {
    let fence = ownership.fence()?;
    engine.run(call, fence).await
}

/// Checks the hold and passes a call to a service, with nothing between the two.
async fn passed(
    service: &dyn Service,
    head: http::request::Parts,
    body: Bytes,
    ownership: &UpstreamOwnership,
) -> Result<Answer, Failure> {
    ownership.fence()?;
    service.call(head, body).await
}

/// A request that holds its place.
#[derive(Debug)]
struct Running<'a> {
    place: Place,
    deadline: Instant,
    parts: &'a Dependencies,
}

impl Running<'_> {
    async fn completed(
        self,
        call: impl Future<Output = Result<Answer, Failure>>,
        check: Check,
        stream: bool,
    ) -> Result<Answer, Failure> {
        let (running, answer) = self.begun(call).await?;
        if !answer.head.status.is_success() {
            return Err(running.failed(answer).await);
        }
        if !stream {
            return running.whole(answer, &check).await;
        }
        let Answer { mut head, body } = answer;
        // The pieces change their length on the way.
        head.headers.remove(CONTENT_LENGTH);
        let form = Form::Events(Box::new(Events::new(check)));
        Ok(running.flowing(head, body, form))
    }

    async fn called(
        self,
        call: impl Future<Output = Result<Answer, Failure>>,
        bodiless: bool,
    ) -> Result<Answer, Failure> {
        let (running, answer) = self.begun(call).await?;
        // The length in such a head is that of a body which doesn't come; awaiting
        // it would make each of these answers look cut.
        let bodiless = bodiless || answer.head.status == StatusCode::NOT_MODIFIED;
        let length = length(&answer.head).filter(|_| !bodiless);
        let form = Form::Plain(length);
        Ok(running.flowing(answer.head, answer.body, form))
    }

    /// Waits for the answer's head.
    async fn begun(
        self,
        call: impl Future<Output = Result<Answer, Failure>>,
    ) -> Result<(Self, Answer), Failure> {
        let answer = tokio::time::timeout_at(self.deadline, call)
            .await
            .unwrap_or_else(|_| Err(expired()));
        match answer {
            Ok(answer) => Ok((self, answer)),
            Err(failure) => {
                self.place.end(outcome(failure.code));
                Err(failure)
            }
        }
    }

    fn flowing(
        self,
        head: response::Parts,
        body: BoxStream<'static, Result<Bytes, Failure>>,
        form: Form,
    ) -> Answer {
        let expired = tokio::time::sleep_until(self.deadline);
        let metrics = Arc::clone(&self.parts.metrics);
        Answer {
            head,
            body: Body::new(body, self.place, form, expired, metrics).boxed(),
        }
    }

    /// Reads a whole answer to its end before any of it is passed on.
    ///
    /// A caller of the whole form can't be told later that what it has read
    /// wasn't whole, or wasn't its own.
    async fn whole(self, answer: Answer, check: &Check) -> Result<Answer, Failure> {
        let Answer { mut head, mut body } = answer;
        let limit = self.parts.limits.max_response_bytes;
        let read = read(&mut body, limit, length(&head));
        let read = tokio::time::timeout_at(self.deadline, read)
            .await
            .unwrap_or_else(|_| Err(expired()));
        drop(body);
        let checked = read.and_then(|read| self.checked(&read, check));
        match checked {
            Ok(bytes) => {
                self.place.end(Outcome::Answered);
                head.headers
                    .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
                Ok(Answer {
                    head,
                    body: stream::once(std::future::ready(Ok(bytes))).boxed(),
                })
            }
            Err(failure) => {
                self.place.end(Outcome::Failed);
                Err(failure)
            }
        }
    }

    fn checked(&self, read: &[u8], check: &Check) -> Result<Bytes, Failure> {
        check
            .whole(read)
            .map_err(|error| body::dropped(error, &self.parts.metrics))
    }

    /// Reads what an engine that refused or failed says, and returns it as a numbered failure.
    async fn failed(self, answer: Answer) -> Failure {
        let Answer { head, mut body } = answer;
        let read = read(&mut body, MAX_ERROR_BYTES, None);
        let said = tokio::time::timeout_at(self.deadline, read).await;
        drop(body);
        let said = said.ok().and_then(Result::ok).unwrap_or_default();
        let (failure, outcome) = status(head.status, &said);
        self.place.end(outcome);
        failure
    }
}

/// Reads a body to its end, which is where its head said.
async fn read(
    body: &mut BoxStream<'static, Result<Bytes, Failure>>,
    limit: usize,
    length: Option<u64>,
) -> Result<BytesMut, Failure> {
    let mut read = BytesMut::new();
    while let Some(piece) = body.next().await {
        let piece = piece.map_err(|failure| cut(&failure.to_string()))?;
        if read.len() + piece.len() > limit {
            return Err(cut("the answer is too long"));
        }
        read.extend_from_slice(&piece);
    }
    if length.is_some_and(|length| length != read.len() as u64) {
        return Err(cut("the answer isn't as long as its head said"));
    }
    Ok(read)
}

/// Says what an engine's status means for the request.
///
/// Only statuses by which an engine rejects a request before its scheduler sees
/// it are called not run; docs/errors.md lists them.
fn status(status: StatusCode, said: &[u8]) -> (Failure, Outcome) {
    let reason = reason(said);
    let detail = format!("the engine answered {}{reason}", status.as_u16());
    match status {
        StatusCode::NOT_FOUND => (
            Failure::new(Code::UpstreamRefused, detail),
            Outcome::UnknownAdapter,
        ),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => (
            Failure::new(Code::UpstreamRefused, detail),
            Outcome::Refused,
        ),
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => {
            (Failure::new(Code::BadRequest, detail), Outcome::Refused)
        }
        _ => (Failure::new(Code::UpstreamError, detail), Outcome::Failed),
    }
}

/// Returns the machine-readable part of an engine's error.
///
/// Its message may quote the prompt, which must not reach a log, so only the
/// short fields `type` and `code` are taken.
fn reason(said: &[u8]) -> String {
    let parsed: serde_json::Value = serde_json::from_slice(said).unwrap_or_default();
    let error = parsed.get("error").unwrap_or(&parsed);
    ["type", "code"]
        .into_iter()
        .filter_map(|field| error.get(field)?.as_str())
        .filter(|text| text.len() <= 64 && text.chars().all(is_word))
        .fold(String::new(), |all, text| format!("{all}, {text}"))
}

fn is_word(letter: char) -> bool {
    letter.is_ascii_alphanumeric() || letter == '_'
}

fn length(head: &response::Parts) -> Option<u64> {
    head.headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn outcome(code: Code) -> Outcome {
    match code {
        Code::ConnectFailed => Outcome::ConnectFailed,
        Code::UpstreamRefused | Code::NotOwner => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

fn refused(id: &Id, detail: &str) -> Failure {
    log::warn!("owner: {id}: {detail}");
    Failure::new(Code::UpstreamRefused, detail)
}

fn expired() -> Failure {
    Failure::new(
        Code::ExpiredRunning,
        "the deadline passed while the request ran",
    )
}

fn cut(detail: &str) -> Failure {
    Failure::new(Code::AnswerCut, detail)
}
