//! A stand-in of a plain service: receipt pushes, work orders, lookups.
//!
//! It records each call by the key that the caller put into it, so that an
//! oracle can count calls that ran twice.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::name::Name;
use http::{HeaderName, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::serve::{Body, Handler, Reset, json, read, text};

/// Header by which a test or load client names a call.
pub const CALL_KEY: HeaderName = HeaderName::from_static("x-call-key");

/// What is wrong with the service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// How many of the next calls break off before they run.
    pub reset_before: u32,
    /// How many of the next calls run and then break off without an answer.
    pub reset_after: u32,
    /// How long a call takes, in milliseconds.
    pub take_ms: u64,
    /// Status of each answer; 0 is 200.
    pub status: u16,
}

/// What the service answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The service's name.
    pub service: String,
    /// The call's method.
    pub method: String,
    /// The call's path and query.
    pub path: String,
    /// The caller's key for the call.
    pub key: String,
    /// How often a call with this key has run, this one included.
    pub runs: u32,
    /// The body, if it is text.
    pub body: String,
}

/// The service.
#[derive(Debug)]
pub struct Service {
    name: Name,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    knobs: Knobs,
    /// How often each call ran, by key.
    runs: BTreeMap<String, u32>,
}

impl Service {
    /// Makes a service that has run nothing.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            inner: Mutex::default(),
        }
    }

    /// Sets what is wrong.
    pub fn set(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
    }

    /// Returns what is wrong.
    #[must_use]
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs.clone()
    }

    /// Returns how often each call ran, by key.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(counter: impl FnOnce(&mut Knobs) -> &mut u32, inner: &mut Inner) -> bool {
        let left = counter(&mut inner.knobs);
        let taken = *left > 0;
        *left = left.saturating_sub(1);
        taken
    }

    fn run(&self, key: &str) -> u32 {
        let mut inner = self.lock();
        let runs = inner.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
        let (head, body) = request.into_parts();
        let body = read(body).await?;
        let key = head
            .headers
            .get(CALL_KEY)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        if Self::take(|knobs| &mut knobs.reset_before, &mut self.lock()) {
            return Err(Reset);
        }
        let runs = self.run(&key);
        let knobs = self.knobs();
        if knobs.take_ms > 0 {
            tokio::time::sleep(Duration::from_millis(knobs.take_ms)).await;
        }
        if Self::take(|knobs| &mut knobs.reset_after, &mut self.lock()) {
            return Err(Reset);
        }
        if knobs.status != 0 {
            let status =
                StatusCode::from_u16(knobs.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return Ok(text(status, "the stand-in was told to"));
        }
        Ok(json(&Receipt {
            service: self.name.to_string(),
            method: head.method.to_string(),
            path: head.uri.to_string(),
            key,
            runs,
            body: String::from_utf8_lossy(&body).into_owned(),
        }))
    }
}
