//! A stand-in of the weight store: it gives one version after another, each at
//! its full speed.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use chivevalve::adapter::Adapter;
use chivevalve::ports::weights::{ROOT, path};
use chivevalve::ports::{Error, Weights as Border};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::serve::{Body, Handler, Reset, text};

/// What is wrong with the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Nothing can be reached.
    pub down: bool,
    /// Paths of versions that it doesn't hold; it holds every other.
    pub missing: HashSet<String>,
    /// How many of the next loads break off halfway.
    pub fail_loads: u32,
}

/// A load that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The store doesn't hold the version.
    Missing,
    /// The transfer broke off.
    Broken,
}

/// The store.
#[derive(Debug)]
pub struct Weights {
    /// Whoever holds it gets the whole speed.
    turn: tokio::sync::Mutex<()>,
    load: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    knobs: Knobs,
    loads: u64,
}

impl Weights {
    /// Makes a store that takes `load` for each version.
    #[must_use]
    pub fn new(load: Duration) -> Self {
        Self {
            turn: tokio::sync::Mutex::new(()),
            load,
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

    /// Returns how many loads were given whole.
    #[must_use]
    pub fn loads(&self) -> u64 {
        self.lock().loads
    }

    /// Gives a version to an engine; waits for its turn and for the transfer.
    ///
    /// # Errors
    ///
    /// When the version is missing or the transfer breaks off.
    pub async fn load(&self, path: &str) -> Result<(), Fault> {
        if !self.holds(path) {
            return Err(Fault::Missing);
        }
        let _turn = self.turn.lock().await;
        if self.breaks() {
            tokio::time::sleep(self.load / 2).await;
            return Err(Fault::Broken);
        }
        tokio::time::sleep(self.load).await;
        self.lock().loads += 1;
        Ok(())
    }

    fn breaks(&self) -> bool {
        let mut inner = self.lock();
        if inner.knobs.fail_loads > 0 {
            inner.knobs.fail_loads -= 1;
            return true;
        }
        inner.knobs.down
    }

    fn holds(&self, path: &str) -> bool {
        !self.lock().knobs.missing.contains(path)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Border for Weights {
    async fn has(&self, adapter: &Adapter) -> Result<bool, Error> {
        if self.lock().knobs.down {
            return Err(Error::Unreachable("the stand-in is down".to_owned()));
        }
        Ok(self.holds(&path(adapter)))
    }
}

#[async_trait]
impl Handler for Weights {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
        if self.lock().knobs.down {
            return Err(Reset);
        }
        let status = match request.uri().path().strip_prefix(ROOT) {
            Some(path) if self.holds(path) => StatusCode::OK,
            _ => StatusCode::NOT_FOUND,
        };
        Ok(text(status, ""))
    }
}
