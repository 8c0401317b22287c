//! One write of a state at a time, and none anew before the store has told what became of the
//! one before.

use model::forward::RolloutState;

/// Where the write stands.
#[derive(Debug, Default)]
pub enum Writes {
    /// None is under way.
    #[default]
    Idle,
    /// One is.
    Running(RolloutState),
    /// One ended; the order as the store has it now is to be heard.
    Unconfirmed,
}

impl Writes {
    /// Whether the next one may begin.
    pub fn is_idle(&self) -> bool {
        matches!(self, Writes::Idle)
    }

    /// The order was read in the store.
    pub fn confirm(&mut self) {
        if matches!(self, Writes::Unconfirmed) {
            *self = Writes::Idle;
        }
    }

    /// The write ended; returns the state that stands now, if it does.
    pub fn ended(&mut self, applied: bool, stored: RolloutState) -> Option<RolloutState> {
        let Writes::Running(state) = std::mem::replace(self, Writes::Unconfirmed) else {
            return None;
        };
        if stored == state {
            *self = Writes::Idle;
        }
        applied.then_some(state)
    }

    /// The state to write now, if the store is to have it and does not.
    pub fn start(&mut self, state: RolloutState, stored: RolloutState) -> Option<RolloutState> {
        if !self.is_idle() || state == stored {
            return None;
        }
        *self = Writes::Running(state);
        Some(state)
    }
}
