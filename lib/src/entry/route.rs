//! Maps a request's method and path to a route.

use http::{Method, Uri};

use crate::error::{Code, Failure};
use crate::name::Name;

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Path prefix of one model's description.
const MODEL_PREFIX: &str = "/v1/models/";

/// The interface that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// A completion; engines serve it under the same path.
    Completion(Completion),
    /// The list of the client account's templates.
    Models,
    /// The description of one of the client account's templates.
    Model(Name),
    /// A call to a plain service.
    Service {
        /// The template that selects the service's pool.
        template: Name,
        /// Path and query to send to the service.
        path: String,
    },
}

/// The two completion interfaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Continues a prompt.
    Text,
    /// Generates the next message of a conversation.
    Chat,
}

impl Completion {
    /// Returns the interface's path, which is the same here and at engines.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// Determines the route of a request.
///
/// # Errors
///
/// [`Code::UnknownPath`], or [`Code::BadMethod`] when the path doesn't support the method.
pub fn route(method: &Method, uri: &Uri) -> Result<Route, Failure> {
    let path = uri.path();
    if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
        return service_route(method, rest, uri.query());
    }
    if let Some(name) = path.strip_prefix(MODEL_PREFIX) {
        require_method(method, &Method::GET)?;
        return Ok(Route::Model(name.into()));
    }
    for completion in [Completion::Text, Completion::Chat] {
        if path == completion.path() {
            require_method(method, &Method::POST)?;
            return Ok(Route::Completion(completion));
        }
    }
    if path == "/v1/models" {
        require_method(method, &Method::GET)?;
        return Ok(Route::Models);
    }
    Err(Failure::new(Code::UnknownPath, "no such path"))
}

fn require_method(method: &Method, allowed: &Method) -> Result<(), Failure> {
    if method == allowed {
        return Ok(());
    }
    Err(Failure::new(
        Code::BadMethod,
        format!("this path takes {allowed}"),
    ))
}

fn service_route(method: &Method, rest: &str, query: Option<&str>) -> Result<Route, Failure> {
    // CONNECT opens a tunnel, which isn't a call, and TRACE would show the caller the headers that
    // this layer adds.
    if method == Method::CONNECT || method == Method::TRACE {
        return Err(Failure::new(
            Code::BadMethod,
            "services aren't called with this method",
        ));
    }
    let (template, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = query.map(|query| format!("?{query}")).unwrap_or_default();
    Ok(Route::Service {
        template: template.into(),
        path: format!("/{path}{query}"),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route_of(method: &Method, uri: &str) -> Result<Route, Code> {
        route(method, &uri.parse().unwrap()).map_err(|failure| failure.code)
    }

    #[test]
    fn route_paths() {
        assert_eq!(
            route_of(&Method::POST, "/v1/completions"),
            Ok(Route::Completion(Completion::Text))
        );
        assert_eq!(route_of(&Method::GET, "/v1/models"), Ok(Route::Models));
        assert_eq!(
            route_of(&Method::GET, "/v1/models/a"),
            Ok(Route::Model("a".into()))
        );
        assert_eq!(
            route_of(&Method::PUT, "/services/stock/a%2Fb/c?d=e&f"),
            Ok(Route::Service {
                template: "stock".into(),
                path: "/a%2Fb/c?d=e&f".into()
            })
        );
        assert_eq!(
            route_of(&Method::GET, "/services/stock"),
            Ok(Route::Service {
                template: "stock".into(),
                path: "/".into()
            })
        );
    }

    #[test]
    fn route_rejects_unknown_path_and_method() {
        assert_eq!(route_of(&Method::GET, "/v2"), Err(Code::UnknownPath));
        assert_eq!(
            route_of(&Method::GET, "/v1/completions"),
            Err(Code::BadMethod)
        );
        assert_eq!(
            route_of(&Method::TRACE, "/services/a/b"),
            Err(Code::BadMethod)
        );
    }
}
