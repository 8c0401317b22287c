//! Requests of this node by attempt, including attempts that ended recently: an attempt usually
//! ends before it is known whether the last worker that failed it has crashed.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use model::forward::Fingerprint;
use model::{Name, Time};

/// Time for which an ended attempt is remembered: longer than any check of a target takes.
const ENDED_TTL: Duration = Duration::from_secs(5);

struct Attempt {
    request: Fingerprint,
    ended_at: Option<Time>,
}

/// Attempts of this node that are open or ended recently.
#[derive(Default)]
pub(super) struct Attempts {
    known: HashMap<Name, Attempt>,
    /// Ends in the order of their times.
    ended: VecDeque<(Time, Name)>,
}

impl Attempts {
    /// Records that an attempt has started.
    pub fn start(&mut self, attempt: Name, request: Fingerprint) {
        self.known.insert(attempt, Attempt { request, ended_at: None });
    }

    /// Records that an attempt has ended, and forgets those that ended long ago.
    pub fn end(&mut self, attempt: &Name, now: Time) {
        if let Some(known) = self.known.get_mut(attempt) {
            known.ended_at = Some(now);
            self.ended.push_back((now, attempt.clone()));
        }
        while let Some((at, attempt)) =
            self.ended.pop_front_if(|(at, _)| now.since(*at) >= ENDED_TTL)
        {
            // Another attempt may have started under the same id.
            if self.known.get(&attempt).is_some_and(|known| known.ended_at == Some(at)) {
                self.known.remove(&attempt);
            }
        }
    }

    /// The request of an attempt.
    pub fn request(&self, attempt: &Name) -> Option<Fingerprint> {
        self.known.get(attempt).map(|known| known.request)
    }
}
