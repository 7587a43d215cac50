//! Calls to the nodes' operators' interface, one node after the other.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chivevalve::operators::{Cause, Refusal};
use chivevalve::secret::Secret;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::args::{Args, node};
use crate::failure::Failure;

/// Environment variable with the nodes to ask, separated by commas.
const NODES: &str = "CHIVEVALVE_NODE";
/// Environment variable with the token.
const TOKEN: &str = "CHIVEVALVE_TOKEN";
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// Longest wait for an answer; a node gives up a little earlier.
const ANSWER: Duration = Duration::from_secs(65);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 256 * 1024 * 1024;

/// What a call may have done when its answer is lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// It only looks.
    None,
    /// It changes something; the options, if there are any, make the same command settle whether it did.
    Change(Option<String>),
}

/// Speaks with nodes.
#[derive(Debug)]
pub struct Client {
    nodes: Vec<SocketAddr>,
    token: Option<Secret>,
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// How one call to one node ended.
enum Ending {
    Answered(Bytes),
    Refused(Refusal),
    /// Nothing was sent.
    NotSent(String),
    /// The call left and no answer came.
    Lost(String),
}

impl Client {
    /// Makes a client of the nodes and the token that the command line or the environment names.
    ///
    /// # Errors
    ///
    /// When no node is named, or the token can't be read.
    pub fn new(args: &Args) -> Result<Self, Failure> {
        let mut nodes = args.nodes.clone();
        if nodes.is_empty()
            && let Ok(listed) = std::env::var(NODES)
        {
            nodes = listed.split(',').map(node).collect::<Result<_, _>>()?;
        }
        if nodes.is_empty() {
            return Err(Failure::Usage(format!(
                "no node is named; give --node ADDRESS or set {NODES}"
            )));
        }
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        Ok(Self {
            nodes,
            token: token(args)?,
            http: HyperClient::builder(TokioExecutor::new()).build(connector),
        })
    }

    /// Lists the nodes that were named.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Looks something up at the first node that answers.
    ///
    /// # Errors
    ///
    /// When no node answers or one refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.ask(&self.nodes, Method::GET, path, Bytes::new(), Effect::None)
            .await
    }

    /// Looks something up at one node.
    ///
    /// # Errors
    ///
    /// When it doesn't answer or refuses.
    pub async fn get_at<T: DeserializeOwned>(
        &self,
        node: SocketAddr,
        path: &str,
    ) -> Result<T, Failure> {
        self.ask(&[node], Method::GET, path, Bytes::new(), Effect::None)
            .await
    }

    /// Sends a call with a body to the first node that answers.
    ///
    /// Every such call may be sent to the next node after a lost answer: a
    /// change carries its id, by which the nodes make it at most once, and
    /// draining twice is draining.
    ///
    /// # Errors
    ///
    /// When no node answers, one refuses, or nobody knows what became of a change.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        effect: Effect,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Failure::Other(format!("can't write JSON: {error}")))?;
        self.ask(&self.nodes, Method::POST, path, body.into(), effect)
            .await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        nodes: &[SocketAddr],
        method: Method,
        path: &str,
        body: Bytes,
        effect: Effect,
    ) -> Result<T, Failure> {
        let mut tries = Tries::new(effect);
        let mut nodes = nodes.to_vec();
        let mut next = 0;
        while let Some(node) = nodes.get(next).copied() {
            next += 1;
            let ending = self.once(node, method.clone(), path, body.clone()).await;
            if let Ending::Refused(refusal) = &ending
                && let Some(other) = refusal.ask
                && !nodes[..next].contains(&other)
            {
                nodes.insert(next, other);
                continue;
            }
            if let Some(done) = tries.add(node, ending) {
                return read(node, &done?);
            }
        }
        Err(tries.failure())
    }

    async fn once(&self, node: SocketAddr, method: Method, path: &str, body: Bytes) -> Ending {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {}", token.expose()));
        }
        let Ok(request) = request.body(Full::new(body)) else {
            // The header's text isn't shown: it may hold the token.
            return Ending::NotSent("the token or the path has odd characters".into());
        };
        match tokio::time::timeout(ANSWER, self.exchange(request)).await {
            Ok(ending) => ending,
            Err(_) => Ending::Lost("no answer came in time".to_owned()),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Ending {
        let answer = match self.http.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => {
                return Ending::NotSent("it can't be reached".to_owned());
            }
            Err(_) => return Ending::Lost("the connection broke".to_owned()),
        };
        let status = answer.status();
        let body = match Limited::new(answer.into_body(), MAX_ANSWER).collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return Ending::Lost("the answer broke off".to_owned()),
        };
        if status.is_success() {
            return Ending::Answered(body);
        }
        match serde_json::from_slice(&body) {
            Ok(refusal) => Ending::Refused(refusal),
            Err(_) => Ending::Lost(format!("it answered {status}, which can't be read")),
        }
    }
}

/// What came of the tries so far.
struct Tries {
    effect: Effect,
    /// Whether a change may have been made.
    maybe: bool,
    reasons: Vec<String>,
    refusal: Option<Refusal>,
}

impl Tries {
    fn new(effect: Effect) -> Self {
        Self {
            effect,
            maybe: false,
            reasons: Vec::new(),
            refusal: None,
        }
    }

    /// Adds a try; returns how the call ends, or none to try the next node.
    fn add(&mut self, node: SocketAddr, ending: Ending) -> Option<Result<Bytes, Failure>> {
        match ending {
            Ending::Answered(body) => return Some(Ok(body)),
            Ending::NotSent(why) => self.reasons.push(format!("{node}: {why}")),
            Ending::Lost(why) => {
                self.maybe |= self.effect != Effect::None;
                self.reasons.push(format!("{node}: {why}"));
            }
            Ending::Refused(refusal) => {
                self.reasons.push(format!("{node}: {}", refusal.message));
                let next = matches!(
                    refusal.cause,
                    Cause::Busy | Cause::Unavailable | Cause::Unknown
                );
                self.maybe |= refusal.cause == Cause::Unknown;
                // Losing the race is certain: a change of the same id would have
                // been found. Any other refusal leaves open what an earlier node did.
                if !next && (!self.maybe || refusal.cause == Cause::LostRace) {
                    return Some(Err(Failure::Refused(refusal)));
                }
                self.refusal = Some(refusal);
            }
        }
        None
    }

    fn failure(self) -> Failure {
        if self.maybe {
            let settle = match self.effect {
                Effect::Change(options) => options,
                Effect::None => None,
            };
            return Failure::Unknown {
                settle,
                reasons: self.reasons,
            };
        }
        match self.refusal {
            Some(refusal) => Failure::Refused(refusal),
            None => Failure::Unreachable(self.reasons),
        }
    }
}

fn read<T: DeserializeOwned>(node: SocketAddr, body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        Failure::Other(format!(
            "{node} answered what this version can't read: {error}"
        ))
    })
}

/// Reads the token; it never stands on a command line, where other users see it.
fn token(args: &Args) -> Result<Option<Secret>, Failure> {
    let text = match &args.token_file {
        Some(file) => Some(std::fs::read_to_string(file).map_err(|error| {
            Failure::Other(format!("{} can't be read: {error}", file.display()))
        })?),
        None => std::env::var(TOKEN).ok(),
    };
    Ok(text
        .map(|text| text.trim().to_owned())
        .filter(|text| !text.is_empty())
        .map(Secret::new))
}

/// Writes a query of names and values.
pub fn query(pairs: &[(&str, &str)]) -> String {
    form_urlencoded::Serializer::new(String::new())
        .extend_pairs(pairs)
        .finish()
}
