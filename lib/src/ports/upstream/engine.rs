//! Client for a model engine: the completions API, the endpoints that load and
//! unload adapters, and the status document.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::uri::PathAndQuery;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::adapter::Adapter;
use crate::clock::Millis;
use crate::error::{Code, Failure};
use crate::name::Name;
use crate::ports::http::{Carrier, Client as HttpClient, read_body, uri};
use crate::ports::upstream::to_upstream_response;
use crate::ports::weights;
use crate::ports::{CompletionCall, Engine, EngineStatus, Fence, UpstreamResponse};

/// Header with the request id, in requests and responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the owner's fencing token, sent with every completion and adapter command.
pub const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fencing-token");

const LOAD_PATH: &str = "/v1/load_lora_adapter";
const UNLOAD_PATH: &str = "/v1/unload_lora_adapter";
const STATUS_PATH: &str = "/v1/status";
/// Maximum size of an error body or status document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;
/// Maximum number of characters of an engine's error text that are forwarded.
const MAX_DETAIL_CHARS: usize = 200;

/// A command to load or unload an adapter.
#[derive(Debug, Serialize)]
struct AdapterCommand {
    lora_name: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lora_path: Option<String>,
}

/// An engine's status document.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Id of the engine process.
    pub boot: Name,
    /// Names of the loaded adapters.
    pub resident: Vec<Name>,
    /// Running requests.
    pub running: Vec<StatusRun>,
    /// Number of requests queued inside the engine.
    pub waiting: u32,
}

/// A running request in the status document.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusRun {
    /// Request id.
    pub id: Name,
    /// Adapter name.
    pub adapter: Name,
}

impl From<Status> for EngineStatus {
    fn from(status: Status) -> Self {
        Self {
            boot: status.boot,
            resident: status.resident,
            running: status
                .running
                .into_iter()
                .map(|run| (run.id, run.adapter))
                .collect(),
            waiting: status.waiting,
        }
    }
}

/// Client for one engine.
#[derive(Debug)]
pub(super) struct Client {
    http: HttpClient,
    address: SocketAddr,
    status_timeout: Millis,
}

impl Client {
    pub(super) fn new(http: HttpClient, address: SocketAddr, status_timeout: Millis) -> Self {
        Self {
            http,
            address,
            status_timeout,
        }
    }

    async fn post(
        &self,
        path: PathAndQuery,
        fence: Fence,
        id: Option<HeaderValue>,
        body: Bytes,
    ) -> Result<(Response<Incoming>, Carrier), Failure> {
        let mut request = Request::post(uri(self.address, path))
            .header(header::CONTENT_TYPE, "application/json")
            .header(FENCING_TOKEN, fence.token)
            .body(Full::new(body))
            .map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
        if let Some(id) = id {
            request.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(self.http.send_on_carrier(request).await?)
    }

    async fn send_command(
        &self,
        path: &'static str,
        command: &AdapterCommand,
        fence: Fence,
    ) -> Result<(StatusCode, String), Failure> {
        let body = serde_json::to_vec(command)
            .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
        let path = PathAndQuery::from_static(path);
        let (response, _) = self.post(path, fence, None, body.into()).await?;
        let status = response.status();
        let text = read_error_text(response).await;
        if status == StatusCode::PRECONDITION_FAILED {
            return Err(Failure::new(Code::NotOwner, text));
        }
        Ok((status, text))
    }
}

#[async_trait]
impl Engine for Client {
    async fn run(&self, call: CompletionCall, fence: Fence) -> Result<UpstreamResponse, Failure> {
        let path = PathAndQuery::try_from(&*call.path)
            .map_err(|error| Failure::new(Code::UnknownPath, error.to_string()))?;
        let id = HeaderValue::from_str(&call.id.0)
            .map_err(|error| Failure::new(Code::BadRequest, error.to_string()))?;
        let body = with_priority(&call.body, call.priority)?;
        let (response, carrier) = self.post(path, fence, Some(id.clone()), body).await?;
        // A response to another request would expose one caller's text to another, and its
        // rejection says nothing of this request.
        if let Some(response_id) = response.headers().get(REQUEST_ID)
            && *response_id != id
        {
            carrier.retire();
            return Err(Failure::new(
                Code::WrongAnswer,
                "the engine answered another request",
            ));
        }
        if let Some(code) = rejection_code(response.status()) {
            // A second copy of this rejection would be taken for the response to the next send.
            carrier.retire();
            return Err(Failure::new(code, read_error_text(response).await));
        }
        Ok(to_upstream_response(response))
    }

    async fn load(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure> {
        let command = AdapterCommand {
            lora_name: adapter.engine_name(),
            lora_path: Some(weights::path(adapter)),
        };
        let (status, text) = self.send_command(LOAD_PATH, &command, fence).await?;
        match status {
            status if status.is_success() => Ok(()),
            // Engines report an adapter that is already loaded as an error.
            StatusCode::BAD_REQUEST if text.contains("already been loaded") => Ok(()),
            StatusCode::NOT_FOUND => Err(Failure::new(Code::UnknownAdapter, text)),
            status => Err(Failure::new(
                Code::LoadFailed,
                format!("status {status}: {text}"),
            )),
        }
    }

    async fn unload(&self, adapter: &Adapter, fence: Fence) -> Result<(), Failure> {
        let command = AdapterCommand {
            lora_name: adapter.engine_name(),
            lora_path: None,
        };
        let (status, text) = self.send_command(UNLOAD_PATH, &command, fence).await?;
        if status.is_success() || status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        Err(Failure::new(
            Code::UpstreamRefused,
            format!("status {status}: {text}"),
        ))
    }

    async fn report(&self) -> Result<EngineStatus, Failure> {
        let read = async {
            let path = PathAndQuery::from_static(STATUS_PATH);
            let request = Request::get(uri(self.address, path))
                .body(Full::default())
                .map_err(|error| Failure::new(Code::Internal, error.to_string()))?;
            let response = self.http.send(request).await?;
            if !response.status().is_success() {
                return Err(Failure::new(
                    Code::UpstreamRefused,
                    format!("status {}", response.status()),
                ));
            }
            let body = read_body(response.into_body(), MAX_DOCUMENT_BYTES)
                .await
                .map_err(|cause| Failure::new(Code::UpstreamLost, cause))?;
            serde_json::from_slice::<Status>(&body)
                .map(EngineStatus::from)
                .map_err(|error| Failure::new(Code::UpstreamError, error.to_string()))
        };
        tokio::time::timeout(self.status_timeout.duration(), read)
            .await
            .unwrap_or_else(|_| {
                let cause = format!("no status within {}", self.status_timeout);
                Err(Failure::new(Code::UpstreamLost, cause))
            })
    }
}

/// Returns the code for a response status that shows that the engine did not run the request.
///
/// An engine sends these statuses only before it runs anything: the adapter isn't
/// loaded, the fencing token is stale, or the engine's queue is full. It may send
/// a 5xx status after the run started, so those are forwarded as responses.
fn rejection_code(status: StatusCode) -> Option<Code> {
    match status {
        StatusCode::PRECONDITION_FAILED => Some(Code::NotOwner),
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS => Some(Code::UpstreamRefused),
        _ => None,
    }
}

/// Adds the `priority` field to a JSON object without parsing it.
///
/// The field is appended last, because parsers use the last of duplicate fields.
/// This prevents callers from raising their own priority.
fn with_priority(body: &Bytes, priority: u32) -> Result<Bytes, Failure> {
    let object = body.trim_ascii();
    let Some(fields) = object
        .strip_prefix(b"{")
        .and_then(|rest| rest.strip_suffix(b"}"))
    else {
        return Err(Failure::new(Code::BadRequest, "the body isn't an object"));
    };
    let separator = if fields.trim_ascii().is_empty() {
        ""
    } else {
        ","
    };
    let field = format!("{separator}\"priority\":{priority}}}");
    let mut extended = Vec::with_capacity(object.len() + field.len());
    extended.extend_from_slice(&object[..object.len() - 1]);
    extended.extend_from_slice(field.as_bytes());
    Ok(extended.into())
}

/// Reads the start of an error response's text, without control characters.
async fn read_error_text(response: Response<Incoming>) -> String {
    let body = read_body(response.into_body(), MAX_DOCUMENT_BYTES)
        .await
        .unwrap_or_default();
    String::from_utf8_lossy(&body)
        .chars()
        .filter(|char| !char.is_control())
        .take(MAX_DETAIL_CHARS)
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn with_priority_of_objects() {
        let added = |body: &'static str| with_priority(&Bytes::from_static(body.as_bytes()), 2);
        assert_eq!(added("{}").unwrap(), "{\"priority\":2}");
        assert_eq!(
            added("{\"model\":\"a\"}").unwrap(),
            "{\"model\":\"a\",\"priority\":2}"
        );
        assert_eq!(added("[]").unwrap_err().code, Code::BadRequest);
    }
}
