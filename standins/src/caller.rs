//! A client as callers have one, which reads an answer to its very end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chivevalve::error::Fate;
use futures::{Stream, StreamExt};
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::service::{CALL_KEY, Receipt};

/// How long an unused connection is kept.
const IDLE: Duration = Duration::from_secs(4);
/// A caller gives up after this time; by then the layer has broken its promise of an end.
const PATIENCE: Duration = Duration::from_mins(2);
/// Lets the layer recognise a call that is sent twice.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct Question {
    /// The template, sent as `model`.
    pub template: String,
    /// Whether to use the chat interface.
    pub chat: bool,
    /// Whether to ask for a stream of events.
    pub stream: bool,
    /// Tokens to ask for.
    pub tokens: u32,
    /// The prompt's last word, by which the answer proves whose it is.
    pub mark: String,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Errand {
    /// The template.
    pub template: String,
    /// The call's method.
    pub method: Method,
    /// Path and query, with a leading slash.
    pub path: String,
    /// The call's own name, which the service records.
    pub mark: String,
    /// The body.
    pub body: String,
    /// Whether to send the mark as the idempotency key too.
    pub keyed: bool,
}

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending<T> {
    /// The answer is whole.
    Whole(T),
    /// The layer says what became of it.
    Told(Told),
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The connection broke, or no end came.
    Lost(String),
}

/// What the layer says of a request that it has no whole answer for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The numbered code.
    pub number: u32,
    /// The code's name.
    pub code: String,
    /// What became of the request.
    pub fate: Fate,
}

/// What an engine's text proves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Text {
    /// Adapter and version that made it.
    pub adapter: String,
    /// The request's identity at the engine.
    pub id: String,
    /// The prompt's last word.
    pub mark: String,
    /// Number of tokens.
    pub tokens: u32,
}

impl Text {
    fn of(text: &str) -> Self {
        let mut words = text.split(' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let (adapter, id, mark) = (word(), word(), word());
        let rest = words.count();
        let read = [&adapter, &id, &mark];
        let read = read.iter().filter(|word| !word.is_empty()).count();
        Self {
            adapter,
            id,
            mark,
            tokens: u32::try_from(rest + read).unwrap_or(u32::MAX),
        }
    }
}

/// A client with one key.
#[derive(Debug, Clone)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Caller {
    /// Makes a client of a client account's key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            http,
            key: key.to_owned(),
        }
    }

    /// Asks a node for a completion and reads the whole answer.
    pub async fn ask(&self, node: SocketAddr, question: &Question) -> Ending<Text> {
        let request = self.completion(node, question);
        let read = async {
            let response = match self.send(request).await {
                Ok(response) => response,
                Err(ending) => return ending,
            };
            if question.stream {
                return read_events(response.into_body().into_data_stream()).await;
            }
            read_whole(response).await
        };
        tokio::time::timeout(PATIENCE, read)
            .await
            .unwrap_or_else(|_| Ending::Lost("no end came".to_owned()))
    }

    /// Calls a plain service through a node and reads the whole answer.
    pub async fn call(&self, node: SocketAddr, errand: &Errand) -> Ending<Receipt> {
        let path = format!("/services/{}{}", errand.template, errand.path);
        let mut request = Request::new(Full::new(Bytes::from(errand.body.clone())));
        *request.method_mut() = errand.method.clone();
        *request.uri_mut() = uri(node, &path);
        let headers = request.headers_mut();
        headers.insert(header::AUTHORIZATION, bearer(&self.key));
        headers.insert(CALL_KEY, value(&errand.mark));
        if errand.keyed {
            headers.insert(IDEMPOTENCY_KEY, value(&errand.mark));
        }
        let read = async {
            let response = match self.send(request).await {
                Ok(response) => response,
                Err(ending) => return ending,
            };
            match collect(response).await {
                Ok(body) => serde_json::from_slice(&body).map_or_else(
                    |error| Ending::Lost(format!("not a receipt: {error}")),
                    Ending::Whole,
                ),
                Err(told) => Ending::Lost(told),
            }
        };
        tokio::time::timeout(PATIENCE, read)
            .await
            .unwrap_or_else(|_| Ending::Lost("no end came".to_owned()))
    }

    /// Makes a completion's request.
    #[must_use]
    pub fn completion(&self, node: SocketAddr, question: &Question) -> Request<Full<Bytes>> {
        let prompt = format!("Please answer as agreed. {}", question.mark);
        let mut body = json!({
            "model": question.template,
            "max_tokens": question.tokens,
            "stream": question.stream,
        });
        let path = if question.chat {
            body["messages"] = json!([{"role": "user", "content": prompt}]);
            "/v1/chat/completions"
        } else {
            body["prompt"] = Value::from(prompt);
            "/v1/completions"
        };
        document(Method::POST, uri(node, path), &self.key, &body)
    }

    /// Sends a request; a refusal in the answer's head is an ending already.
    async fn send<T>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Ending<T>> {
        let response = self.open(request).await.map_err(|error| {
            if error.is_connect() || is_unstarted(&error) {
                Ending::Unsent
            } else {
                Ending::Lost(format!("{error:?}"))
            }
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        Err(match collect(response).await {
            Ok(body) => {
                told(&body).map_or_else(|| Ending::Lost(format!("status {status}")), Ending::Told)
            }
            Err(broken) => Ending::Lost(broken),
        })
    }

    /// Sends a request and returns the answer as it comes.
    ///
    /// # Errors
    ///
    /// When no head comes back.
    pub async fn open(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        self.http.request(request).await
    }
}

/// Sends a JSON document with a token, as the operators' tool does, and reads the answer.
///
/// # Errors
///
/// When no answer comes, or one that is no success; the text says which.
pub async fn operate(
    node: SocketAddr,
    token: &str,
    method: Method,
    path: &str,
    document: &Value,
) -> Result<Value, String> {
    let request = self::document(method, uri(node, path), token, document);
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .map_err(|error| format!("{error:?}"))?;
    let status = response.status();
    let body = collect(response).await?;
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        return Err(format!("status {status}: {text}"));
    }
    Ok(serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Whether a kept connection had ended before the request was written.
fn is_unstarted(error: &hyper_util::client::legacy::Error) -> bool {
    std::error::Error::source(error)
        .and_then(|cause| cause.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}

fn document(method: Method, uri: Uri, key: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = method;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    headers.insert(header::AUTHORIZATION, bearer(key));
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    request
}

fn bearer(key: &str) -> HeaderValue {
    value(&format!("Bearer {key}"))
}

/// Makes a header's value; ours are plain text.
fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static("unfit"))
}

fn uri(node: SocketAddr, path: &str) -> Uri {
    format!("http://{node}{path}").parse().unwrap_or_default()
}

async fn collect(response: Response<Incoming>) -> Result<Bytes, String> {
    response
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| error.to_string())
}

#[derive(Deserialize)]
struct Envelope {
    error: Details,
}

#[derive(Deserialize)]
struct Details {
    number: u32,
    code: String,
    fate: Fate,
}

fn told(body: &[u8]) -> Option<Told> {
    let Envelope { error } = serde_json::from_slice(body).ok()?;
    Some(Told {
        number: error.number,
        code: error.code,
        fate: error.fate,
    })
}

async fn read_whole(response: Response<Incoming>) -> Ending<Text> {
    let body = match collect(response).await {
        Ok(body) => body,
        Err(broken) => return Ending::Lost(broken),
    };
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    let choice = &answer["choices"][0];
    let text = choice["text"]
        .as_str()
        .or(choice["message"]["content"].as_str());
    match text {
        Some(text) => Ending::Whole(Text::of(text)),
        None => Ending::Lost("the answer has no text".to_owned()),
    }
}

/// Reads events up to the one that ends a whole answer.
async fn read_events<S, E>(body: S) -> Ending<Text>
where
    S: Stream<Item = Result<Bytes, E>>,
    E: std::fmt::Display,
{
    let mut body = std::pin::pin!(body);
    let mut lines = Vec::new();
    let mut text = String::new();
    while let Some(piece) = body.next().await {
        match piece {
            Ok(piece) => lines.extend_from_slice(&piece),
            Err(error) => return Ending::Lost(error.to_string()),
        }
        while let Some(end) = lines.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = lines.drain(..=end).collect();
            if let Some(ending) = read_event(&line, &mut text) {
                return ending;
            }
        }
    }
    Ending::Lost("the stream ended without its end".to_owned())
}

/// Reads one line; returns the ending if it is the last.
fn read_event(line: &[u8], text: &mut String) -> Option<Ending<Text>> {
    let data = line.trim_ascii().strip_prefix(b"data: ")?;
    if data == b"[DONE]" {
        return Some(Ending::Whole(Text::of(text)));
    }
    if let Some(told) = told(data) {
        return Some(Ending::Told(told));
    }
    let event: BTreeMap<String, Value> = serde_json::from_slice(data).unwrap_or_default();
    let choice = event.get("choices").and_then(|choices| choices.get(0))?;
    let piece = choice["text"]
        .as_str()
        .or(choice["delta"]["content"].as_str());
    text.push_str(piece.unwrap_or_default());
    None
}

#[cfg(test)]
mod tests {
    use futures::stream;

    use super::*;

    async fn read(events: &'static str) -> Ending<Text> {
        let pieces = events.as_bytes().chunks(7).map(Bytes::from_static);
        read_events(stream::iter(pieces.map(Ok::<_, String>))).await
    }

    #[tokio::test]
    async fn read_events_whole() {
        let ending = read(
            "data: {\"choices\":[{\"text\":\"a@1\"}]}\n\n\
             data: {\"choices\":[{\"text\":\" id\"}]}\n\n\
             data: {\"choices\":[{\"text\":\" m\"}]}\n\ndata: [DONE]\n\n",
        );
        let Ending::Whole(text) = ending.await else {
            panic!("not whole");
        };
        assert_eq!((text.adapter.as_str(), text.tokens), ("a@1", 3));
    }

    /// A stream that ends in order but without its last event counts as lost, not as whole.
    #[tokio::test]
    async fn read_events_cut() {
        let ending = read("data: {\"choices\":[{\"text\":\"a@1\"}]}\n\n").await;
        assert!(matches!(ending, Ending::Lost(_)));
    }

    #[tokio::test]
    async fn read_events_told() {
        let ending = read(
            "data: {\"error\":{\"number\":3004,\"code\":\"answer_cut\",\"fate\":\"unknown\"}}\n\n",
        );
        let Ending::Told(told) = ending.await else {
            panic!("not told");
        };
        assert_eq!(told.number, 3004);
    }
}
