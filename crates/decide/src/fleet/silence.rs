//! Targets that are silent while they run requests.

use model::forward::TargetId;
use model::{Name, Time};

use super::{Fleet, TargetState};

/// Minimum number of silent targets for a silence of the whole service.
const MIN_SILENT: usize = 2;

impl Fleet {
    /// Records a sign of life of a target: the head of an answer, or an event of a stream.
    pub fn record_sign(&mut self, id: &TargetId, now: Time) {
        if let Some(t) = self.get_mut(id) {
            t.record_sign(now);
        }
    }

    /// Targets of a service with requests in flight that have been silent since before `since`.
    pub fn silent_targets(&self, service: &Name, since: Time) -> impl Iterator<Item = &TargetId> {
        self.service_targets(service)
            .filter(move |t| t.is_silent_since(since))
            .map(|t| &t.target.id)
    }

    /// Whether several targets of a service have been silent since before `since`, and none has
    /// answered since.
    pub fn is_service_silent(&self, service: &Name, since: Time) -> bool {
        let is_heard = |t: &TargetState| t.is_heard_since(since);
        self.silent_targets(service, since).count() >= MIN_SILENT
            && !self.service_targets(service).any(is_heard)
    }
}
