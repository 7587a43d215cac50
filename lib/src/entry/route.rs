//! What a path asks for.

use http::{Method, Uri};

use crate::error::{Code, Failure};
use crate::name::Name;

/// Path prefix of plain services.
const SERVICES: &str = "/services/";

/// Path prefix of one model's description.
const MODELS: &str = "/v1/models/";

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// A completion; the path goes on to the engine.
    Completion(Completion),
    /// The account's templates.
    Models,
    /// One of the account's templates.
    Model(Name),
    /// A call to a plain service.
    Service {
        /// The template that names the service's pool.
        template: Name,
        /// Path and query for the service.
        path: String,
    },
}

/// The two completions interfaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// A prompt's continuation.
    Text,
    /// The next message of a conversation.
    Chat,
}

impl Completion {
    /// Returns the interface's path, here and at engines.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// Reads a request's method and path.
///
/// # Errors
///
/// [`Code::UnknownPath`] or [`Code::BadMethod`].
pub fn route(method: &Method, uri: &Uri) -> Result<Route, Failure> {
    let path = uri.path();
    if let Some(rest) = path.strip_prefix(SERVICES) {
        return service(method, rest, uri.query());
    }
    if let Some(name) = path.strip_prefix(MODELS) {
        only(method, &Method::GET)?;
        return Ok(Route::Model(name.into()));
    }
    for completion in [Completion::Text, Completion::Chat] {
        if path == completion.path() {
            only(method, &Method::POST)?;
            return Ok(Route::Completion(completion));
        }
    }
    if path == "/v1/models" {
        only(method, &Method::GET)?;
        return Ok(Route::Models);
    }
    Err(Failure::new(Code::UnknownPath, "no such path"))
}

fn only(method: &Method, right: &Method) -> Result<(), Failure> {
    if method == right {
        return Ok(());
    }
    Err(Failure::new(
        Code::BadMethod,
        format!("this path takes {right}"),
    ))
}

fn service(method: &Method, rest: &str, query: Option<&str>) -> Result<Route, Failure> {
    // A tunnel isn't a call, and a trace would show the caller what the layer
    // adds to its headers.
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

    fn found(method: &Method, uri: &str) -> Result<Route, Code> {
        route(method, &uri.parse().unwrap()).map_err(|failure| failure.code)
    }

    #[test]
    fn route_paths() {
        assert_eq!(
            found(&Method::POST, "/v1/completions"),
            Ok(Route::Completion(Completion::Text))
        );
        assert_eq!(found(&Method::GET, "/v1/models"), Ok(Route::Models));
        assert_eq!(
            found(&Method::GET, "/v1/models/a"),
            Ok(Route::Model("a".into()))
        );
        assert_eq!(
            found(&Method::PUT, "/services/stock/a%2Fb/c?d=e&f"),
            Ok(Route::Service {
                template: "stock".into(),
                path: "/a%2Fb/c?d=e&f".into()
            })
        );
        assert_eq!(
            found(&Method::GET, "/services/stock"),
            Ok(Route::Service {
                template: "stock".into(),
                path: "/".into()
            })
        );
    }

    #[test]
    fn route_refusals() {
        assert_eq!(found(&Method::GET, "/v2"), Err(Code::UnknownPath));
        assert_eq!(found(&Method::GET, "/v1/completions"), Err(Code::BadMethod));
        assert_eq!(found(&Method::TRACE, "/services/a/b"), Err(Code::BadMethod));
    }
}
