//! Knobs and oracles over HTTP, for stand-ins in a process of their own.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::platform::Platform;
use crate::serve::{Body, Handler, Reset, json, read, text};

/// Marks a VM as about to go, or not.
#[derive(Debug, Serialize, Deserialize)]
pub struct Leaving {
    /// Its name.
    pub name: String,
    /// Whether it is.
    pub leaving: bool,
}

/// Kills an engine and starts it cold.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Restart {
    /// How long it is gone, in milliseconds.
    pub down_ms: u64,
}

/// The interface.
#[derive(Debug)]
pub struct Control {
    platform: Arc<Platform>,
}

impl Control {
    /// Makes the interface of a platform.
    #[must_use]
    pub fn new(platform: Arc<Platform>) -> Self {
        Self { platform }
    }

    fn get(&self, path: &str) -> Option<Response<Body>> {
        match path {
            "/addresses" => Some(json(&self.platform.addresses())),
            "/record" => Some(json(&self.platform.record())),
            "/store/counts" => Some(json(&self.platform.store.standin.counts())),
            _ => None,
        }
    }

    /// Carries an order out; none if there is no such order, an error if it can't be read or done.
    async fn post(&self, path: &str, body: &Bytes) -> Option<Result<(), String>> {
        let parts: Vec<_> = path.trim_start_matches('/').split('/').collect();
        let platform = &self.platform;
        let done = match parts[..] {
            ["store", "knobs"] => match parse(body) {
                Ok(knobs) => platform.set_store(knobs).await.map_err(|e| e.to_string()),
                Err(error) => Err(error),
            },
            ["directory", "knobs"] => {
                parse(body).map(|knobs| platform.directory.standin.set(knobs))
            }
            ["directory", "leaving"] => parse(body).map(|order: Leaving| {
                let list = &platform.directory.standin;
                list.set_leaving(&order.name, order.leaving);
            }),
            ["weights", "knobs"] => parse(body).map(|knobs| platform.weights.standin.set(knobs)),
            ["engines", name, "knobs"] => {
                let engine = platform.engines.get(name)?;
                parse(body).map(|knobs| engine.standin.set(knobs))
            }
            ["engines", name, "restart"] => match parse::<Restart>(body) {
                Ok(order) => platform
                    .restart_engine(name, Duration::from_millis(order.down_ms))
                    .await
                    .map_err(|error| error.to_string()),
                Err(error) => Err(error),
            },
            ["services", name, "knobs"] => {
                let service = platform.services.get(name)?;
                parse(body).map(|knobs| service.standin.set(knobs))
            }
            _ => return None,
        };
        Some(done)
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

#[async_trait]
impl Handler for Control {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let answered = if head.method == Method::GET {
            self.get(path)
        } else {
            let body = read(body).await?;
            self.post(path, &body).await.map(|done| match done {
                Ok(()) => text(StatusCode::OK, "done\n"),
                Err(error) => text(StatusCode::BAD_REQUEST, error),
            })
        };
        Ok(answered.unwrap_or_else(|| text(StatusCode::NOT_FOUND, "no such path\n")))
    }
}
