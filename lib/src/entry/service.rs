//! Rewrites the headers of calls to plain services and of their responses.

use http::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, request};

use super::answer::REQUEST_ID;
use crate::error::{Code, Failure};
use crate::request::Id;

/// Carries this layer's request id to the service; `x-request-id` may be set by the caller.
const LAYER_REQUEST_ID: HeaderName = HeaderName::from_static("x-chivevalve-request-id");

/// Carries the service's own `x-request-id` to the caller.
const UPSTREAM_REQUEST_ID: HeaderName = HeaderName::from_static("x-upstream-request-id");

/// Hop-by-hop headers, which must not be forwarded.
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

/// Removes the hop-by-hop headers, including those listed in `Connection`.
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

/// Converts a caller's request head into the one sent to the service.
///
/// # Errors
///
/// [`Code::BadRequest`] when the path isn't a valid URI.
pub fn upstream_request_head(
    mut head: request::Parts,
    path: &str,
    id: &Id,
) -> Result<request::Parts, Failure> {
    remove_hop_by_hop(&mut head.headers);
    // The API key is meant for this layer only: a service that received it could impersonate the
    // client account.
    head.headers.remove(AUTHORIZATION);
    // The request is sent after its body has been read completely, so the service needn't ask for
    // the body with `100 Continue`.
    head.headers.remove(EXPECT);
    head.headers.insert(LAYER_REQUEST_ID, id_value(id));
    head.uri = path
        .parse()
        .map_err(|_| Failure::new(Code::BadRequest, "the path can't be passed on"))?;
    head.extensions.clear();
    Ok(head)
}

/// Converts a service's response headers into those sent to the caller.
pub fn to_caller_headers(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    if let Some(upstream_id) = headers.remove(REQUEST_ID) {
        headers.insert(UPSTREAM_REQUEST_ID, upstream_id);
    }
}

fn id_value(id: &Id) -> HeaderValue {
    HeaderValue::from_str(&id.0).unwrap_or_else(|_| HeaderValue::from_static(""))
}

#[cfg(test)]
mod tests {
    use http::Request;

    use super::*;

    #[test]
    fn upstream_request_head_removes_headers() {
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
