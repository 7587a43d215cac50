//! The engine's HTTP interface: the completions API with dynamic adapters.

use async_trait::async_trait;
use chivevalve::ports::upstream::{FENCING_TOKEN, REQUEST_ID};
use futures::StreamExt;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;

use super::{Completion, Engine, Refusal, text::models};
use crate::serve::{Body, Handler, Reset, full, json, read, text};

#[derive(Debug, Deserialize)]
struct Order {
    lora_name: String,
    #[serde(default)]
    lora_path: String,
}

#[async_trait]
impl Handler for Engine {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
        let (head, body) = request.into_parts();
        let token = number(&head.headers, &FENCING_TOKEN);
        let path = head.uri.path();
        let answered = match path {
            "/v1/completions" | "/v1/chat/completions" => {
                let body = read(body).await?;
                let id = head.headers.get(REQUEST_ID).cloned();
                let id = id.unwrap_or_else(|| HeaderValue::from_static("none"));
                let chat = path == "/v1/chat/completions";
                self.complete(id.to_str().unwrap_or_default(), chat, &body, token)
                    .map(|completion| respond(completion, id))
            }
            "/v1/load_lora_adapter" => {
                let order: Order = parse(&read(body).await?);
                self.load(&order.lora_name, &order.lora_path, token)
                    .await
                    .map(|()| text(StatusCode::OK, "loaded"))
            }
            "/v1/unload_lora_adapter" => {
                let order: Order = parse(&read(body).await?);
                self.unload(&order.lora_name, token)
                    .map(|()| text(StatusCode::OK, "unloaded"))
            }
            "/v1/status" => Ok(document(self.status())),
            "/v1/models" => Ok(document(models(self.lock().resident.iter()))),
            _ => Err(Refusal::new(StatusCode::NOT_FOUND, "no such path")),
        };
        Ok(answered.unwrap_or_else(|refusal| refuse(&refusal)))
    }
}

fn parse(body: &[u8]) -> Order {
    serde_json::from_slice(body).unwrap_or(Order {
        lora_name: String::new(),
        lora_path: String::new(),
    })
}

fn number(headers: &HeaderMap, name: &HeaderName) -> u64 {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

fn respond(completion: Completion, id: HeaderValue) -> Response<Body> {
    let kind = if completion.stream {
        "text/event-stream"
    } else {
        "application/json"
    };
    let frames = completion.body.map(|piece| piece.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    headers.insert(REQUEST_ID, id);
    response
}

fn document(bytes: bytes::Bytes) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    let mut response = json(&serde_json::json!({
        "error": {
            "message": refusal.text,
            "type": "invalid_request_error",
            "code": refusal.status.as_u16(),
        },
    }));
    *response.status_mut() = refusal.status;
    response
}
