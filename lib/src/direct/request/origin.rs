//! Keeps a stream at the software version that began it.

use std::sync::Arc;

use super::ActiveRequest;
use crate::direct::controllers::OriginSearch;
use crate::direct::origin::{Origin, StreamKey};
use crate::direct::request_log;
use crate::direct::upstream::Upstream;
use crate::error::{Code, Failure};
use crate::name::Name;

impl ActiveRequest {
    /// Binds a request that resumes a caller's stream to where that stream began.
    ///
    /// # Errors
    ///
    /// [`Code::StreamOriginUnknown`] if nobody knows where it began, and
    /// [`Code::StreamVersionGone`] if its pool no longer serves the route.
    pub(in crate::direct) async fn bind_resumed(&mut self) -> Result<(), Failure> {
        let metadata = &self.message.metadata;
        if !self.message.kind.is_streaming() || metadata.resume_after.is_none() {
            return Ok(());
        }
        let stream = StreamKey::of(metadata);
        let pools: Vec<Name> = self.route.pools().cloned().collect();
        let controllers = &self.frontend.controllers;
        let software = &self.frontend.software_records;
        let possible = self.possible_pools(&pools);
        let mut search = controllers.find_origin(stream, &possible, software).await;
        if search == OriginSearch::Unknown
            && let Some(stream) = stream
            && let Some(origin) = self.frontend.origin_copies.read(stream).await
        {
            search = OriginSearch::Copied(origin);
        }
        let resumed = &self.frontend.metrics.resumed_streams;
        resumed.with_label_values(&[search.name()]).inc();
        request_log::origin_found(self, &search);
        let Some(origin) = search.origin().cloned() else {
            let cause = "no node knows the software version that began the stream";
            return Err(Failure::new(Code::StreamOriginUnknown, cause));
        };
        if !pools.contains(&origin.pool) {
            let cause = format!("pool {} no longer serves the route", origin.pool);
            return Err(Failure::new(Code::StreamVersionGone, cause));
        }
        self.pool = Name::clone(&origin.pool);
        self.origin = Some(origin);
        Ok(())
    }

    /// Returns the pools at which the stream that a caller resumes may have begun.
    fn possible_pools(&self, pools: &[Name]) -> Vec<Name> {
        let now = self.now();
        let state = self.frontend.view.state();
        let path = self.message.uri.path();
        let former = state.former_pools.at(&self.route.host, path, now);
        let mut possible = pools.to_vec();
        for pool in former {
            if !possible.contains(pool) {
                possible.push(Name::clone(pool));
            }
        }
        possible
    }

    /// Binds the stream to where it began, unless it is bound, and has that remembered.
    ///
    /// Called with the upstream of the first event that reaches the caller in this response.
    pub(in crate::direct) fn bind_to_origin(&mut self, upstream: &Upstream) {
        let origin = self.origin.get_or_insert_with(|| Origin::at(upstream));
        if self.message.kind.is_retryable()
            && let Some(stream) = StreamKey::of(&self.message.metadata)
        {
            let controllers = &self.frontend.controllers;
            controllers.record_origin(stream, origin.clone());
        }
    }

    /// Returns the upstreams of the pool at which the request may run.
    pub(in crate::direct) fn candidates(&self) -> Arc<[Arc<Upstream>]> {
        let view = &self.frontend.view;
        let Some(origin) = &self.origin else {
            let begins_stream = self.message.kind.is_streaming();
            return if begins_stream {
                view.stream_pool(&self.pool)
            } else {
                view.pool(&self.pool)
            };
        };
        let upstreams = view.pool(&self.pool);
        if upstreams.iter().all(|upstream| origin.allows(upstream)) {
            return upstreams;
        }
        let allowed = upstreams.iter().filter(|upstream| origin.allows(upstream));
        allowed.cloned().collect()
    }

    /// Fails a stream whose software version no upstream runs any more.
    ///
    /// # Errors
    ///
    /// [`Code::StreamVersionGone`], or the failure of a request that may have run.
    pub(in crate::direct) fn check_origin(
        &self,
        candidates: &[Arc<Upstream>],
    ) -> Result<(), Failure> {
        let Some(origin) = &self.origin else {
            return Ok(());
        };
        if candidates.iter().any(|upstream| upstream.is_ready()) {
            return Ok(());
        }
        let cause = format!("no upstream serves software version {}", origin.software);
        if self.possible_runs > 0 {
            return Err(Failure::new(Code::UpstreamLost, cause));
        }
        Err(Failure::new(Code::StreamVersionGone, cause))
    }
}
