//! Spreads configuration revisions between nodes by gossip.

use std::sync::Arc;

use super::manager::ConfigManager;
use super::state::Origin;
use super::view::View;
use super::{blocking, layout};
use crate::clock::Millis;
use crate::declaration::DeclarationSet;
use crate::gossip::{GossipState, SnapshotInstaller, SnapshotSource};
use crate::schema::declaration::{Bucket, Head};
use crate::schema::peer::{Delta, Digest, SnapshotPart};

impl GossipState for ConfigManager {
    fn fill_digest(&self, digest: &mut Digest) {
        let now = self.now();
        let state = self.state();
        digest.revision = state.learned().revision();
        digest.view_digest = state.learned().digest().to_bytes().into();
        digest.confirmed_age_ms = state
            .confirmed_age(now)
            .map_or(0, |age| age.0.saturating_add(1));
    }

    fn fill_delta(&self, theirs: &Digest, delta: &mut Delta) {
        let state = self.state();
        if theirs.revision >= state.learned().revision() {
            return;
        }
        match state.operations_since(theirs.revision, self.deps.limits.max_delta_bytes) {
            Some(operations) => delta
                .operations
                .extend(operations.iter().map(|operation| (**operation).clone())),
            None => delta.snapshot_needed = true,
        }
    }

    fn merge_delta(&self, delta: &Delta) -> bool {
        let operations: Vec<_> = delta.operations.iter().cloned().map(Arc::new).collect();
        let (any_new, _) = self.offer(&operations);
        let Some(theirs) = &delta.digest else {
            return any_new;
        };
        let now = self.now();
        let is_behind = {
            let mut state = self.state();
            state.record_heard(theirs.revision);
            let learned = state.learned();
            let same_revision = theirs.revision == learned.revision();
            let same_digest = theirs.view_digest == learned.digest().to_bytes();
            if same_revision && !same_digest {
                drop(state);
                self.count_event("conflict");
                return any_new;
            }
            if same_revision && theirs.confirmed_age_ms > 0 {
                let age = Millis(theirs.confirmed_age_ms - 1);
                state.record_confirmed(theirs.revision, now - age);
            }
            state.newest_heard() > state.learned().revision()
        };
        if is_behind {
            self.service_wakeup.notify_one();
        }
        any_new
    }
}

impl SnapshotSource for ConfigManager {
    fn parts(&self) -> Box<dyn Iterator<Item = SnapshotPart> + Send> {
        let view = self.learned();
        let head = Head {
            revision: view.revision(),
            view_digest: view.digest().to_bytes(),
            ..Head::default()
        };
        let first = SnapshotPart {
            head: Some(head),
            ..SnapshotPart::default()
        };
        let files = blocking::run(|| layout::partition(&view.to_set()));
        let buckets = files.into_iter().map(|file| SnapshotPart {
            bucket: Some(Bucket { file: Some(file) }),
            ..SnapshotPart::default()
        });
        Box::new(std::iter::once(first).chain(buckets))
    }
}

impl SnapshotInstaller for ConfigManager {
    fn is_wanted(&self, revision: u64) -> bool {
        let now = self.now();
        let state = self.state();
        state.learned().revision() < revision && !state.is_rejected(revision, Origin::Peer, now)
    }

    fn install(&self, parts: Vec<SnapshotPart>) -> bool {
        let mut head = Head::default();
        let mut set = DeclarationSet::default();
        for part in parts {
            if let Some(theirs) = part.head {
                head = theirs;
            }
            if let Some(file) = part.bucket.and_then(|bucket| bucket.file) {
                set.extend(file);
            }
        }
        if !self.is_wanted(head.revision) {
            return false;
        }
        match View::from_set(head.revision, &set) {
            Ok(view) => {
                self.count_event("snapshot_peer");
                self.install_view(view, &head.view_digest, Origin::Peer)
            }
            Err(reason) => {
                self.reject(head.revision, reason, Origin::Peer);
                false
            }
        }
    }
}
