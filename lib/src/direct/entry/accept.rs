//! What a caller sent: its route, its body and the pool that takes it.

use bytes::Bytes;
use http::header;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;

use crate::direct::config::{Config, Route};
use crate::error::{Code, Failure};
use crate::name::Name;

fn find<'a>(config: &'a Config, head: &http::request::Parts) -> Result<&'a Route, Failure> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    config
        .route(host, head.uri.path())
        .ok_or_else(|| Failure::new(Code::UnknownPath, "no route matches"))
}

pub(super) async fn accept<'a>(
    config: &'a Config,
    head: &http::request::Parts,
    body: Incoming,
) -> Result<(&'a Route, Bytes), Failure> {
    let route = find(config, head)?;
    Ok((route, read(body, config).await?))
}

async fn read(body: Incoming, config: &Config) -> Result<Bytes, Failure> {
    let whole = Limited::new(body, config.limits.body_bytes).collect();
    let within = config.limits.idle_timeout;
    match tokio::time::timeout(within.duration(), whole).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Failure::new(Code::BodyTooLarge, "the body is too large"))
        }
        Ok(Err(error)) => Err(Failure::new(Code::BadRequest, error.to_string())),
        Err(_) => Err(Failure::new(
            Code::SenderTooSlow,
            "the body came too slowly",
        )),
    }
}

/// Chooses a pool by weight.
pub(super) fn choose(route: &Route) -> Option<Name> {
    let total: u32 = route.pool_weights.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut at = rand::rng().random_range(0..total);
    for (pool, weight) in &route.pool_weights {
        if at < *weight {
            return Some(Name::clone(pool));
        }
        at -= weight;
    }
    None
}
