//! Calls to plain services: what of a message's head goes on.

use http::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, request};

use super::answer::REQUEST_ID;
use crate::error::{Code, Failure};
use crate::request::Id;

/// Carries the request's identity to the service; `x-request-id` may be the caller's own.
const OUR_REQUEST_ID: HeaderName = HeaderName::from_static("x-chivevalve-request-id");

/// Carries the service's own `x-request-id` to the caller.
const UPSTREAM_REQUEST_ID: HeaderName = HeaderName::from_static("x-upstream-request-id");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that concern one connection only, those that `Connection` lists included.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}

/// Makes the head that the service gets of the caller's.
///
/// # Errors
///
/// [`Code::BadRequest`] when the path can't be passed on.
pub fn upstream_request_head(
    mut head: request::Parts,
    path: &str,
    id: &Id,
) -> Result<request::Parts, Failure> {
    remove_hop_by_hop(&mut head.headers);
    // The key is for this layer; a service that got it could call in the
    // account's name.
    head.headers.remove(AUTHORIZATION);
    // The body is already here, so the service needn't ask for it.
    head.headers.remove(EXPECT);
    head.headers.insert(OUR_REQUEST_ID, header(id));
    head.uri = path
        .parse()
        .map_err(|_| Failure::new(Code::BadRequest, "the path can't be passed on"))?;
    head.extensions.clear();
    Ok(head)
}

/// Prepares the service's headers for the caller.
pub fn to_caller_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    if let Some(own) = headers.remove(REQUEST_ID) {
        headers.insert(UPSTREAM_REQUEST_ID, own);
    }
}

fn header(id: &Id) -> HeaderValue {
    HeaderValue::from_str(&id.0).unwrap_or_else(|_| HeaderValue::from_static(""))
}

#[cfg(test)]
mod tests {
    use http::Request;

    use super::*;

    #[test]
    fn outward_strips() {
        let (head, ()) = Request::builder()
            .method("PUT")
            .uri("http://node/services/stock/a?b")
            .header("authorization", "Bearer secret")
            .header("connection", "close, X-Hop")
            .header("x-hop", "1")
            .header("x-request-id", "mine")
            .header("te", "trailers")
            .header("x-kept", "1")
            .header("x-kept", "2")
            .body(())
            .unwrap()
            .into_parts();
        let head = upstream_request_head(head, "/a?b", &Id("r1".into())).unwrap();
        let mut names: Vec<_> = head
            .headers
            .iter()
            .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
            .collect();
        names.sort();
        assert_eq!(
            names,
            [
                "x-chivevalve-request-id: r1",
                "x-kept: 1",
                "x-kept: 2",
                "x-request-id: mine"
            ]
        );
        assert_eq!(head.uri, "/a?b");
    }
}
