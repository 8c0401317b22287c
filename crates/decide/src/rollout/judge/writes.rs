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
    Unheard,
}

impl Writes {
    /// Whether the next one may begin.
    pub fn is_idle(&self) -> bool {
        matches!(self, Writes::Idle)
    }

    /// The order was read in the store.
    pub fn order_seen(&mut self) {
        if matches!(self, Writes::Unheard) {
            *self = Writes::Idle;
        }
    }

    /// The write ended; returns the state that stands now, if it does.
    pub fn ended(&mut self, stands: bool, seen: RolloutState) -> Option<RolloutState> {
        let Writes::Running(state) = std::mem::replace(self, Writes::Unheard) else {
            return None;
        };
        if seen == state {
            *self = Writes::Idle;
        }
        stands.then_some(state)
    }

    /// The state to write now, if the store is to have it and does not.
    pub fn want(&mut self, state: RolloutState, seen: RolloutState) -> Option<RolloutState> {
        if !self.is_idle() || state == seen {
            return None;
        }
        *self = Writes::Running(state);
        Some(state)
    }
}
