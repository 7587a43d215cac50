//! A stand-in of the platform's list of VMs, which lags.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use chivevalve::clock::{Clock, Millis, Monotonic};
use chivevalve::ports::directory::{PATH, VmEntry, VmList};
use chivevalve::ports::{Directory as Border, Error, Vm};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::serve::{Body, Handler, Reset, json, text};

/// What is wrong with the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Knobs {
    /// Nothing can be reached.
    pub down: bool,
    /// The list comes back empty.
    pub empty: bool,
    /// How long a change takes to show, in milliseconds.
    pub lag_ms: u64,
}

/// The list.
#[derive(Debug)]
pub struct Directory {
    inner: Mutex<Inner>,
    clock: Monotonic,
}

#[derive(Debug, Default)]
struct Inner {
    knobs: Knobs,
    /// Past lists with the time of each; the last is the truth.
    lists: Vec<(Millis, Vec<Vm>)>,
}

impl Directory {
    /// Makes a list.
    #[must_use]
    pub fn new(vms: Vec<Vm>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                knobs: Knobs::default(),
                lists: vec![(Millis::ZERO, vms)],
            }),
            clock: Monotonic::start(),
        }
    }

    /// Sets what is wrong.
    pub fn set(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
    }

    /// Returns what is wrong.
    #[must_use]
    pub fn knobs(&self) -> Knobs {
        self.lock().knobs
    }

    /// Changes the list; readers see it after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let mut vms = inner
            .lists
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default();
        change(&mut vms);
        inner.lists.push((now, vms));
    }

    /// Marks a VM as about to go, or not.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        self.change(|vms| {
            for vm in vms.iter_mut().filter(|vm| &*vm.name == name) {
                vm.leaving = leaving;
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read(&self) -> Option<Vec<Vm>> {
        let now = self.clock.now();
        let inner = self.lock();
        if inner.knobs.down {
            return None;
        }
        if inner.knobs.empty {
            return Some(Vec::new());
        }
        let shown = inner
            .lists
            .iter()
            .rev()
            .find(|(time, _)| now.since(*time).0 >= inner.knobs.lag_ms)
            .or(inner.lists.first());
        Some(shown.map(|(_, vms)| vms.clone()).unwrap_or_default())
    }
}

#[async_trait]
impl Border for Directory {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.read()
            .ok_or_else(|| Error::Unreachable("the stand-in is down".to_owned()))
    }
}

#[async_trait]
impl Handler for Directory {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Reset> {
        if request.uri().path() != PATH {
            return Ok(text(StatusCode::NOT_FOUND, "no such list"));
        }
        let vms = self.read().ok_or(Reset)?;
        let vms = vms.iter().map(VmEntry::from).collect();
        Ok(json(&VmList { vms }))
    }
}
