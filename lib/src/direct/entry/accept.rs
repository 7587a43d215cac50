//! Matches a request to its route, reads its body and selects the pool that serves it.

use bytes::Bytes;
use http::header;
use rand::RngExt;

use crate::buffer::{self, Reservation};
use crate::direct::config::{Config, Route};
use crate::error::{Code, Failure};
use crate::name::Name;

fn find_route<'a>(config: &'a Config, head: &http::request::Parts) -> Result<&'a Route, Failure> {
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

/// Returns the route and the complete body of a request.
///
/// # Errors
///
/// When no route matches, or when the body is too large, arrives too slowly, finds no room or can't
/// be read.
pub(super) async fn accept<'a, B>(
    config: &'a Config,
    head: &http::request::Parts,
    body: B,
    memory: &mut Reservation,
) -> Result<(&'a Route, Bytes), Failure>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let route = find_route(config, head)?;
    let limits = config.limits;
    let body = buffer::read(body, limits.body_bytes, limits.idle_timeout, memory).await?;
    Ok((route, body))
}

/// Selects a pool of a route at random by weight; `None` if the weights add up to zero.
pub(super) fn select_pool(route: &Route) -> Option<Name> {
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
