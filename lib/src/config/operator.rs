//! Operators' calls: plan, apply, history, rollback and export.

use std::sync::Arc;

use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::blocking;
use super::config_store::{ReadError, StoredHead};
use super::error::Error;
use super::garbage;
use super::history;
use super::layout::BLOCK_REVISIONS;
use super::manager::ConfigManager;
use super::plan::{self, Plan};
use super::state::Origin;
use super::view::View;
use super::writer::{self, Proposal, WriteOutcome};
use crate::clock::Millis;
use crate::declaration::{DeclarationSet, SourceFile, diff, export};
use crate::name::Name;
use crate::schema::declaration::Operation;

/// Maximum attempts of a change when its base revision changes or a replica is stale.
const MAX_ROUNDS: usize = 4;
/// Pause before a read that hit a stale replica is repeated, in milliseconds.
const STALE_REPLICA_PAUSE: Millis = Millis(250);

/// Metadata of a change to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the change, chosen by the caller; a retry after a lost response
    /// uses the same id. [`new_id`] generates one.
    pub id: Name,
    /// The operator who makes the change.
    pub author: Name,
    /// Why the change is made.
    pub reason: String,
    /// The revision that the caller's plan is based on. A change declares the whole
    /// configuration, so applying it to a newer revision would revert what others
    /// changed since.
    pub expected: u64,
    /// Milliseconds since the Unix epoch, for display only.
    pub time_ms: u64,
}

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change created, or the newest one if nothing differed.
    pub revision: u64,
    /// Number of declarations that differ.
    pub differences: u32,
    /// Whether an earlier call had made the change.
    pub already: bool,
}

/// Generates the id of a change.
#[must_use]
pub fn new_id() -> Name {
    let bits: u128 = rand::random();
    Arc::from(format!("{bits:032x}"))
}

impl ConfigManager {
    /// Returns what a set of declarations would change, with warnings.
    ///
    /// The plan is based on the service's newest revision, or on the learned
    /// one, with a warning, if the service doesn't respond.
    pub async fn plan(&self, set: &DeclarationSet) -> Plan {
        let confirmed = self.catch_up().await;
        let view = self.learned();
        let mut plan = plan::plan(&view, set, &*self.deps.weights).await;
        if let Err(failure) = confirmed {
            plan.warnings.push(format!(
                "the newest revision can't be confirmed, and this plan rests on revision {}: {failure}",
                view.revision()
            ));
        }
        plan
    }

    /// Applies a set of declarations as one change.
    ///
    /// Returns once the change is durable. A caller that got no response may
    /// call again with the same change id, at any node.
    ///
    /// # Errors
    ///
    /// [`Error::wrote_nothing`] tells whether the change certainly wasn't accepted by this call.
    pub async fn apply(
        &self,
        change_request: &ChangeRequest,
        set: &DeclarationSet,
    ) -> Result<Accepted, Error> {
        let result = self.apply_with_retries(change_request, set).await;
        match &result {
            Ok(accepted) => {
                self.count_event("accepted");
                info!(
                    "config: {} changed the configuration to revision {}",
                    change_request.author, accepted.revision
                );
            }
            Err(error) => {
                self.count_event(if error.wrote_nothing() {
                    "rejected"
                } else {
                    "unsettled"
                });
                warn!(
                    "config: a change by {} failed: {error}",
                    change_request.author
                );
            }
        }
        result
    }

    /// Returns up to `limit` operations up to a revision, newest first.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond.
    pub async fn history(
        &self,
        last: Option<u64>,
        limit: usize,
    ) -> Result<Vec<Arc<Operation>>, Error> {
        let head = self.catch_up().await.map_err(read_failure)?;
        let last = last.unwrap_or(head.head.revision).min(head.head.revision);
        history::list(&self.config_store, last, limit)
            .await
            .map_err(Error::Unavailable)
    }

    /// Applies the declarations of an earlier revision as a new revision.
    ///
    /// # Errors
    ///
    /// As [`ConfigManager::apply`], and when the revision is no longer kept.
    pub async fn rollback(
        &self,
        change_request: &ChangeRequest,
        to: u64,
    ) -> Result<Accepted, Error> {
        self.catch_up().await.map_err(read_failure)?;
        let set = self.declared_at(to).await?;
        let mut change_request = change_request.clone();
        change_request.reason = format!("rollback to revision {to}: {}", change_request.reason);
        self.apply(&change_request, &set).await
    }

    /// Returns the declarations of a revision.
    ///
    /// # Errors
    ///
    /// When the service doesn't respond or the revision is no longer kept.
    pub async fn declared_at(&self, revision: u64) -> Result<DeclarationSet, Error> {
        let newest = self.learned();
        history::declared_at(&self.config_store, &newest, revision).await
    }

    /// Exports the newest learned revision as files that can be applied elsewhere.
    #[must_use]
    pub fn export(&self) -> Vec<SourceFile> {
        export::export(&self.learned().to_set())
    }

    async fn apply_with_retries(
        &self,
        change_request: &ChangeRequest,
        set: &DeclarationSet,
    ) -> Result<Accepted, Error> {
        for _ in 0..MAX_ROUNDS {
            let base = self.catch_up().await.map_err(read_failure)?;
            if let Some(accepted) = self.find_earlier(change_request).await? {
                return Ok(accepted);
            }
            let before = self.learned();
            if before.revision() < base.head.revision {
                // A change based on the learned revision would revert the newer one, which this node rejected.
                return Err(self.unreadable_error(base.head.revision));
            }
            if before.revision() < change_request.expected {
                // A stale replica answered: the caller has seen a newer revision.
                tokio::time::sleep(STALE_REPLICA_PAUSE.duration()).await;
                continue;
            }
            if let Some(accepted) = self.check_expected(change_request, &before).await? {
                return Ok(accepted);
            }
            let Some(proposal) = blocking::run(|| propose(change_request, set, base, &before))?
            else {
                return Ok(Accepted {
                    revision: before.revision(),
                    differences: 0,
                    already: false,
                });
            };
            match writer::write(&self.config_store, &proposal).await? {
                WriteOutcome::Accepted => {
                    let revision = proposal.operation.revision;
                    let accepted = self.learn_accepted(proposal);
                    self.collect_garbage(revision);
                    return Ok(accepted);
                }
                WriteOutcome::AlreadyAccepted(revision) => return Ok(already_accepted(revision)),
                WriteOutcome::LostRace(theirs) => return Err(Error::LostRace(theirs)),
                WriteOutcome::Conflict => {}
            }
        }
        Err(Error::Contended)
    }

    fn unreadable_error(&self, revision: u64) -> Error {
        let status = self.status();
        let reason = status
            .refused
            .unwrap_or_else(|| format!("revision {revision}"));
        Error::Unreadable(reason)
    }

    /// Looks up whether an earlier call with the same change id was accepted.
    async fn find_earlier(
        &self,
        change_request: &ChangeRequest,
    ) -> Result<Option<Accepted>, Error> {
        let revision = self
            .config_store
            .revision_of_change(&change_request.id)
            .await;
        Ok(revision.map_err(Error::Unavailable)?.map(already_accepted))
    }

    /// Checks that the configuration is still at the revision that the change expects.
    ///
    /// If it isn't, an earlier call with the same change id may have made the newer
    /// revision, which a stale replica doesn't show yet; then its result is returned.
    async fn check_expected(
        &self,
        change_request: &ChangeRequest,
        before: &View,
    ) -> Result<Option<Accepted>, Error> {
        let actual = before.revision();
        if change_request.expected == actual {
            return Ok(None);
        }
        let accepted = writer::find_accepted(&self.config_store, &change_request.id).await;
        if let Some(revision) = accepted.map_err(Error::Unavailable)? {
            return Ok(Some(already_accepted(revision)));
        }
        let newest = self
            .config_store
            .read_operation(actual)
            .await
            .ok()
            .flatten();
        Err(Error::RevisionMismatch {
            expected: change_request.expected,
            actual,
            newest,
        })
    }

    /// Deletes old snapshots and operations once per block, without delaying the response.
    fn collect_garbage(&self, revision: u64) {
        if !revision.is_multiple_of(BLOCK_REVISIONS) {
            return;
        }
        let config_store = self.config_store.clone();
        let stop = self.deps.stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                done = garbage::collect(&config_store) => if let Err(error) = done {
                    warn!("config: old snapshots and operations couldn't be deleted: {error}");
                },
            }
        });
    }

    /// Learns a change that was just accepted, so that this node spreads it at once.
    fn learn_accepted(&self, proposal: Proposal) -> Accepted {
        let operation = proposal.operation;
        let accepted = Accepted {
            revision: operation.revision,
            differences: operation.difference_count,
            already: false,
        };
        let digest = operation.view_digest.clone();
        let (_, gap) = self.offer(&[Arc::new(operation)]);
        if gap {
            self.install_view(proposal.after, &digest, Origin::Service);
        }
        accepted
    }
}

fn propose(
    change_request: &ChangeRequest,
    set: &DeclarationSet,
    base: StoredHead,
    before: &View,
) -> Result<Option<Proposal>, Error> {
    let differences = diff::diff(&before.to_set(), set);
    if differences.is_empty() {
        return Ok(None);
    }
    // If the service lost data, its head is behind the nodes. The new revision must
    // be above theirs, or they would ignore it.
    let revision = before.revision().max(base.head.revision) + 1;
    let after = before
        .apply_differences(revision, &differences)
        .map_err(|error| Error::Invalid(error.to_string()))?;
    let operation = Operation {
        revision,
        change_id: change_request.id.to_string(),
        author: change_request.author.to_string(),
        reason: change_request.reason.clone(),
        time_ms: change_request.time_ms,
        view_digest: after.digest().to_bytes(),
        difference_count: u32::try_from(differences.len()).unwrap_or(u32::MAX),
        differences,
        ..Operation::default()
    };
    Ok(Some(Proposal {
        base,
        after,
        operation,
    }))
}

fn already_accepted(revision: u64) -> Accepted {
    Accepted {
        revision,
        differences: 0,
        already: true,
    }
}

fn read_failure(failure: ReadError) -> Error {
    match failure {
        ReadError::Service(error) => Error::Unavailable(error),
        ReadError::Unreadable(error) => Error::Unreadable(error.to_string()),
    }
}
