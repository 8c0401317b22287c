//! What one answer said of its target's limit, and which of two such words is the later one.

use std::time::Duration;

use model::Time;
use model::forward::LimitWord;

/// Longest time in which a peer's word comes, as long as nodes wait for the answer to a message: by
/// so much it may be older than it tells.
pub const TRANSIT: Duration = Duration::from_millis(800);

/// What an answer said of the requests that its target takes.
///
/// The target said it at some moment between the two times. Answers overtake one another, on many
/// connections and at many nodes, so that of two words it is not always known which is later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Requests a second; `None` if it names no limit.
    pub per_s: Option<f64>,
    /// When the request was sent.
    pub sent: Time,
    /// When the answer came.
    pub came: Time,
}

impl Word {
    /// A peer's word.
    pub fn heard(word: &LimitWord, now: Time) -> Word {
        let ago = |ms: u64| now - Duration::from_millis(ms);
        Word { per_s: word.per_s, sent: ago(word.sent_ms) - TRANSIT, came: ago(word.came_ms) }
    }

    /// The word as a peer is told it.
    pub fn told(&self, now: Time) -> LimitWord {
        let age = |at: Time| now.since(at).as_millis() as u64;
        LimitWord { per_s: self.per_s, sent_ms: age(self.sent), came_ms: age(self.came) }
    }

    /// What holds after both: the later word, and the tighter one where it is not known which
    /// that is.
    pub fn and(self, other: Word) -> Word {
        if self.per_s == other.per_s {
            let (sent, came) = (self.sent.max(other.sent), self.came.max(other.came));
            return Word { per_s: self.per_s, sent, came };
        }
        let (tight, loose) =
            if self.takes() < other.takes() { (self, other) } else { (other, self) };
        if tight.came <= loose.sent { loose } else { tight }
    }

    /// Requests a second that the target takes.
    fn takes(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }
}
