//! Who may call, by the digest of the token that the call carries.

use subtle::{Choice, ConstantTimeEq};

use super::refusal::{Cause, Refusal};
use crate::name::Name;
use crate::secret;
use crate::settings::{Access, Role};

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Bearer ";

/// Finds the token's name when it is known and allows `needed`.
///
/// # Errors
///
/// When the token is missing, unknown, or of a lesser role. Neither answer says
/// which tokens there are.
pub(super) fn enter(
    access: &Access,
    headers: &http::HeaderMap,
    needed: Role,
) -> Result<Name, Refusal> {
    let unknown = || {
        Refusal::new(
            Cause::UnknownToken,
            "the token is missing or unknown",
            "name a file with the token by --token-file, or set CHIVEVALVE_TOKEN",
        )
    };
    let token = headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix(SCHEME))
        .ok_or_else(unknown)?;
    let digest = secret::digest(token.as_bytes());
    // Every digest is compared whole: a comparison that stopped at the first
    // different byte, or at the first match, would tell by its time how much
    // of a guess was right.
    let mut found = None;
    for known in &access.tokens {
        if bool::from(same(&known.digest, &digest)) {
            found = Some(known);
        }
    }
    let known = found.ok_or_else(unknown)?;
    if known.role < needed {
        return Err(Refusal::new(
            Cause::Forbidden,
            format!("the token {} may only read", known.name),
            "use a token whose role is write",
        ));
    }
    Ok(Name::clone(&known.name))
}

fn same(a: &[u8; 32], b: &[u8; 32]) -> Choice {
    a.ct_eq(b)
}
