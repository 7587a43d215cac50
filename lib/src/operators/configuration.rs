//! The configuration's keeper as operators use it.

use std::time::{SystemTime, UNIX_EPOCH};

use async_trait::async_trait;

use super::port::Configuration;
use super::refusal::{Cause, Refusal};
use super::wire;
use crate::config::{self, ChangeRequest, ConfigManager, Error};
use crate::declaration::{DeclarationSet, Mistake, SourceFile, check_sources, diff, export};
use crate::name::Name;

#[async_trait]
impl Configuration for ConfigManager {
    fn rollout(&self) -> wire::Rollout {
        let status = self.status();
        wire::Rollout {
            revision: status.revision,
            learned: status.learned,
            confirmed_age_ms: status.confirmed_age_ms,
            fault: status.refused,
        }
    }

    async fn export(&self) -> Result<wire::Export, Refusal> {
        let view = self.learned();
        apart(move || wire::Export {
            revision: view.revision(),
            files: export::export(&view.to_set())
                .into_iter()
                .map(Into::into)
                .collect(),
        })
        .await
    }

    async fn plan(&self, files: Vec<wire::File>) -> Result<wire::Plan, Refusal> {
        let set = read(files).await?;
        Ok(ConfigManager::plan(self, &set).await.into())
    }

    async fn apply(&self, change: wire::Apply, author: Name) -> Result<wire::Accepted, Refusal> {
        let set = read(change.files).await?;
        let change_request = change_request(
            &change.change_id,
            author,
            change.reason,
            change.expected_revision,
        );
        let accepted = ConfigManager::apply(self, &change_request, &set).await;
        accepted
            .map(|accepted| answer(accepted, change.change_id))
            .map_err(Into::into)
    }

    async fn rollback(
        &self,
        change: wire::Rollback,
        author: Name,
    ) -> Result<wire::Accepted, Refusal> {
        let change_request = change_request(
            &change.change_id,
            author,
            change.reason,
            change.expected_revision,
        );
        let accepted = ConfigManager::rollback(self, &change_request, change.to_revision).await;
        accepted
            .map(|accepted| answer(accepted, change.change_id))
            .map_err(Into::into)
    }

    async fn history(&self, limit: usize) -> Result<wire::History, Refusal> {
        let operations = ConfigManager::history(self, None, limit).await?;
        Ok(wire::History {
            operations: operations
                .iter()
                .map(|operation| operation.as_ref().clone().into())
                .collect(),
        })
    }
}

fn change_request(id: &str, author: Name, reason: String, expected: u64) -> ChangeRequest {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ChangeRequest {
        id: Name::from(id),
        author,
        reason,
        expected,
        time_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
    }
}

fn answer(accepted: config::Accepted, change_id: String) -> wire::Accepted {
    wire::Accepted {
        revision: accepted.revision,
        change_id,
        differences: accepted.differences,
        already: accepted.already,
    }
}

/// Checks files by this node's rules.
async fn read(files: Vec<wire::File>) -> Result<DeclarationSet, Refusal> {
    let checked = apart(move || {
        let sources: Vec<SourceFile> = files.into_iter().map(Into::into).collect();
        check_sources(&sources)
    });
    checked.await?.map_err(|mistakes| invalid(&mistakes))
}

/// Works off the threads that carry requests.
///
/// Tens of thousands of declarations take long enough that every stream of a
/// request's thread would stall meanwhile.
async fn apart<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Result<T, Refusal> {
    tokio::task::spawn_blocking(work)
        .await
        .map_err(|_| Refusal::new(Cause::Busy, "the node is about to stop", "ask another node"))
}

fn invalid(mistakes: &[Mistake]) -> Refusal {
    Refusal::new(
        Cause::Invalid,
        "the declarations have mistakes",
        "correct them; nothing was changed",
    )
    .mistakes(mistakes.iter().map(ToString::to_string).collect())
}

impl From<SourceFile> for wire::File {
    fn from(source: SourceFile) -> Self {
        Self {
            name: source.name.to_string(),
            text: source.text,
        }
    }
}

impl From<wire::File> for SourceFile {
    fn from(file: wire::File) -> Self {
        Self {
            name: Name::from(file.name),
            text: file.text,
        }
    }
}

impl From<config::Plan> for wire::Plan {
    fn from(plan: config::Plan) -> Self {
        Self {
            revision: plan.revision,
            text: diff::render(&plan.differences),
            differences: plan.differences.into_iter().map(Into::into).collect(),
            warnings: plan.warnings,
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        let cause = match &error {
            Error::LostRace(_) | Error::RevisionMismatch { .. } => Cause::LostRace,
            Error::OutcomeUnknown { .. } => Cause::Unknown,
            Error::Unavailable(_) => Cause::Unavailable,
            Error::Contended => Cause::Busy,
            Error::Invalid(_) | Error::Unreadable(_) => Cause::Invalid,
            Error::TooLarge(_) => Cause::TooLarge,
            Error::UnknownRevision(_) => Cause::NotFound,
        };
        let winner = match &error {
            Error::LostRace(winner) => Some(winner),
            Error::RevisionMismatch { newest, .. } => newest.as_ref(),
            _ => None,
        };
        let winners = winner.map(|winner| winner.as_ref().clone().into());
        Self::new(cause, error.to_string(), error.hint()).winners(winners.into_iter().collect())
    }
}
