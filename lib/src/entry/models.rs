//! Lists and describes a client account's templates as models of the completions interface.

use serde::Serialize;

use crate::config::View;
use crate::declaration::{Account, Template};
use crate::error::{Code, Failure};

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
    kind: &'static str,
}

impl<'a> Model<'a> {
    fn from_template(template: &'a Template) -> Self {
        Self {
            id: &template.name,
            object: "model",
            created: 0,
            owned_by: &template.account,
            kind: match template.adapter {
                Some(_) => "engine",
                None => "service",
            },
        }
    }
}

/// Returns the JSON list of a client account's templates, sorted by name.
#[must_use]
pub fn list(view: &View, account: &Account) -> String {
    let mut data: Vec<_> = view
        .templates_of(&account.name)
        .map(|template| Model::from_template(template))
        .collect();
    data.sort_by_key(|model| model.id);
    let list = List {
        object: "list",
        data,
    };
    serde_json::to_string(&list).unwrap_or_default()
}

/// Returns the JSON description of one of a client account's templates.
///
/// # Errors
///
/// [`Code::UnknownTemplate`] when the account has no template of this name.
pub fn describe(view: &View, account: &Account, name: &str) -> Result<String, Failure> {
    let template = view
        .template(&account.name, name)
        .ok_or_else(unknown_template)?;
    Ok(serde_json::to_string(&Model::from_template(template)).unwrap_or_default())
}

/// Returns the failure for unknown templates.
///
/// It is the same for templates that don't exist and for those of other accounts, so that no
/// account learns which templates another one has.
#[must_use]
pub fn unknown_template() -> Failure {
    Failure::new(
        Code::UnknownTemplate,
        "the client account has no such template",
    )
}
