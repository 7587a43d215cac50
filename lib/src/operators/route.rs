//! From an operator's call to its answer.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::refusal::{Cause, Refusal};
use super::server::Server;
use super::{explain, gate, status, wire};
use crate::name::Name;
use crate::settings::Role;

/// Changes that `history` returns unless told otherwise.
const HISTORY: usize = 20;
/// Most changes that `history` returns.
const MAX_HISTORY: usize = 1_000;

/// An answer, whole.
pub(super) type Answer = Response<Full<Bytes>>;

/// Answers one call.
pub(super) async fn answer(server: &Arc<Server>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let call = Call {
        server,
        headers: &head.headers,
        query: query(head.uri.query().unwrap_or_default()),
        body,
    };
    let done = match (&head.method, path.as_str()) {
        (&Method::GET, "/healthz") => Ok(text(StatusCode::OK, "alive\n")),
        (&Method::GET, "/readyz") => Ok(call.ready()),
        (&Method::GET, "/metrics") => Ok(text(StatusCode::OK, &server.parts.metrics.render())),
        (&Method::GET, "/v1/status") => call.status(),
        (&Method::GET, "/v1/config") => call.export().await,
        (&Method::GET, "/v1/history") => call.history().await,
        (&Method::GET, "/v1/explain") => call.explain(),
        (&Method::POST, "/v1/plan") => call.plan().await,
        (&Method::POST, "/v1/apply") => call.apply().await,
        (&Method::POST, "/v1/rollback") => call.rollback().await,
        (&Method::POST, "/v1/drain") => call.drain().await,
        (method, path) => Err(Refusal::new(
            Cause::NotFound,
            format!("there is no {method} {path}"),
            "see docs/operators/cli.md for the paths",
        )),
    };
    done.unwrap_or_else(|refusal| refused(&refusal))
}

/// One call, taken apart.
struct Call<'a> {
    server: &'a Arc<Server>,
    headers: &'a HeaderMap,
    query: HashMap<String, String>,
    body: Incoming,
}

impl Call<'_> {
    fn enter(&self, needed: Role) -> Result<Name, Refusal> {
        gate::enter(&self.server.parts.access, self.headers, needed)
    }

    fn ready(&self) -> Answer {
        let reasons = status::not_ready(&self.server.parts);
        if reasons.is_empty() {
            return text(StatusCode::OK, "ready\n");
        }
        let lines = format!("not ready: {}\n", reasons.join("; "));
        text(StatusCode::SERVICE_UNAVAILABLE, &lines)
    }

    fn status(&self) -> Result<Answer, Refusal> {
        self.enter(Role::Read)?;
        Ok(json(&status::status(&self.server.parts)))
    }

    async fn export(&self) -> Result<Answer, Refusal> {
        self.enter(Role::Read)?;
        Ok(json(&self.server.parts.configuration.export().await?))
    }

    async fn history(&self) -> Result<Answer, Refusal> {
        self.enter(Role::Read)?;
        let limit = match self.query.get("limit") {
            None => HISTORY,
            Some(limit) => limit.parse().map_err(|_| {
                Refusal::new(
                    Cause::BadRequest,
                    "limit is no number",
                    format!("write a number from 1 to {MAX_HISTORY}"),
                )
            })?,
        };
        let limit = limit.clamp(1, MAX_HISTORY);
        Ok(json(&self.server.parts.configuration.history(limit).await?))
    }

    fn explain(&self) -> Result<Answer, Refusal> {
        self.enter(Role::Read)?;
        let parts = &self.server.parts;
        let view = Arc::clone(&parts.view.borrow());
        let fleet = Arc::clone(&parts.fleet.borrow());
        let facts = explain::Facts {
            node: &parts.node.name,
            view: &view,
            fleet: &fleet,
            nodes: &parts.membership.nodes(),
            owned: &parts.ownership.owned(),
            placement: parts.placement.clone(),
        };
        let explanation =
            explain::explain(&facts, self.asked("account")?, self.asked("template")?)?;
        Ok(json(&explanation))
    }

    fn asked(&self, name: &str) -> Result<&str, Refusal> {
        self.query.get(name).map(String::as_str).ok_or_else(|| {
            Refusal::new(
                Cause::BadRequest,
                format!("{name} is missing in the query"),
                format!("add {name}=…"),
            )
        })
    }

    async fn plan(self) -> Result<Answer, Refusal> {
        self.enter(Role::Read)?;
        let server = self.server;
        let _place = server.draft()?;
        let draft: wire::Draft = read(self.body, server.parts.limits.draft_bytes).await?;
        let plan = server.parts.configuration.plan(draft.files).await?;
        Ok(json(&plan))
    }

    async fn apply(self) -> Result<Answer, Refusal> {
        let author = self.enter(Role::Write)?;
        let server = self.server;
        let _place = server.draft()?;
        let change: wire::Apply = read(self.body, server.parts.limits.draft_bytes).await?;
        reasoned(&change.change_id, &change.reason)?;
        log::info!(
            "operators: {author} applies change {} on revision {}",
            change.change_id,
            change.expected_revision
        );
        let accepted = server.parts.configuration.apply(change, author).await?;
        Ok(json(&accepted))
    }

    async fn rollback(self) -> Result<Answer, Refusal> {
        let author = self.enter(Role::Write)?;
        let server = self.server;
        let change: wire::Rollback = read(self.body, server.parts.limits.body_bytes).await?;
        reasoned(&change.change_id, &change.reason)?;
        log::info!(
            "operators: {author} rolls back to revision {}, change {}",
            change.to_revision,
            change.change_id
        );
        let accepted = server.parts.configuration.rollback(change, author).await?;
        Ok(json(&accepted))
    }

    async fn drain(self) -> Result<Answer, Refusal> {
        let author = self.enter(Role::Write)?;
        let parts = &self.server.parts;
        let asked: wire::Drain = read(self.body, parts.limits.body_bytes).await?;
        log::info!("operators: {author} drains {:?} {}", asked.kind, asked.name);
        match asked.kind {
            wire::DrainKind::Node if *asked.name == *parts.node.name => {
                parts.membership.drain_node();
            }
            wire::DrainKind::Node => return Err(elsewhere(&asked.name, self.server)),
            wire::DrainKind::Upstream => drain_upstream(self.server, &asked.name).await?,
        }
        Ok(json(&wire::Draining {
            node: parts.node.name.to_string(),
        }))
    }
}

/// Only the owner of an upstream can drain it, since it alone holds its queue.
async fn drain_upstream(server: &Server, name: &str) -> Result<(), Refusal> {
    let parts = &server.parts;
    let fleet = Arc::clone(&parts.fleet.borrow());
    if !fleet.upstreams().any(|upstream| *upstream.vm.name == *name) {
        return Err(Refusal::new(
            Cause::NotFound,
            format!("no upstream {name} is known"),
            "list the upstreams with chivevalve status",
        ));
    }
    match fleet.owner(name) {
        Some(owner) if owner.node != parts.node.name => Err(elsewhere(&owner.node, server)),
        _ => parts.membership.drain_upstream(name).await,
    }
}

/// Names the node that must be asked instead.
fn elsewhere(node: &str, server: &Server) -> Refusal {
    let nodes = server.parts.membership.nodes();
    match nodes.iter().find(|peer| peer.name == node) {
        Some(peer) => Refusal::new(
            Cause::Elsewhere,
            format!("node {node} must be asked"),
            "ask the node at the address given",
        )
        .ask(peer.operators),
        None => Refusal::new(
            Cause::NotFound,
            format!("no node {node} is known"),
            "list the nodes with chivevalve status",
        ),
    }
}

/// A change without an id couldn't be settled, one without a reason explained.
fn reasoned(change_id: &str, reason: &str) -> Result<(), Refusal> {
    if change_id.is_empty() || reason.trim().is_empty() {
        return Err(Refusal::new(
            Cause::BadRequest,
            "change_id or reason is empty",
            "give each change an id of its own and a reason",
        ));
    }
    Ok(())
}

async fn read<T: DeserializeOwned>(body: Incoming, limit: usize) -> Result<T, Refusal> {
    let whole = Limited::new(body, limit).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() {
            return Refusal::new(
                Cause::TooLarge,
                format!("the body is larger than {limit} bytes"),
                "split the declarations between deployments",
            );
        }
        Refusal::new(
            Cause::BadRequest,
            "the body broke off",
            "send the call again",
        )
    })?;
    serde_json::from_slice(&whole.to_bytes()).map_err(|error| {
        Refusal::new(
            Cause::BadRequest,
            format!("the body isn't what the call takes: {error}"),
            "use a chivevalve of the same version as the nodes",
        )
    })
}

fn query(text: &str) -> HashMap<String, String> {
    form_urlencoded::parse(text.as_bytes())
        .into_owned()
        .collect()
}

fn text(status: StatusCode, text: &str) -> Answer {
    with_type(status, "text/plain; charset=utf-8", text.to_owned().into())
}

fn json(value: &impl Serialize) -> Answer {
    with_type(StatusCode::OK, "application/json", encode(value))
}

/// Writes a refusal as an answer.
pub(super) fn refused(refusal: &Refusal) -> Answer {
    let status =
        StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    with_type(status, "application/json", encode(refusal))
}

fn encode(value: &impl Serialize) -> Bytes {
    // The types of `wire` hold nothing that JSON can't.
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn with_type(status: StatusCode, media: &'static str, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(media),
    );
    response
}
