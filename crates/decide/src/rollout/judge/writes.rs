//! Writes of the order's state: one at a time, and the next only once the store has shown the
//! outcome of the one before.

use model::forward::RolloutState;

/// Progress of the write.
#[derive(Debug, Default)]
pub enum Writes {
    /// No write is in flight.
    #[default]
    Idle,
    /// A write of this state is in flight.
    Running(RolloutState),
    /// A write ended, and the order has yet to be read from the store.
    Unconfirmed,
}

impl Writes {
    /// Whether the next write may begin.
    pub fn is_idle(&self) -> bool {
        matches!(self, Writes::Idle)
    }

    /// The order was read from the store.
    pub fn confirm(&mut self) {
        if matches!(self, Writes::Unconfirmed) {
            *self = Writes::Idle;
        }
    }

    /// Ends the write; returns its state if it was applied. `stored` is the state last read from
    /// the store.
    pub fn ended(&mut self, applied: bool, stored: RolloutState) -> Option<RolloutState> {
        let Writes::Running(state) = std::mem::replace(self, Writes::Unconfirmed) else {
            return None;
        };
        if stored == state {
            *self = Writes::Idle;
        }
        applied.then_some(state)
    }

    /// Starts a write of `state` unless the store already holds it or a write is in flight; returns
    /// the state to write.
    pub fn start(&mut self, state: RolloutState, stored: RolloutState) -> Option<RolloutState> {
        if !self.is_idle() || state == stored {
            return None;
        }
        *self = Writes::Running(state);
        Some(state)
    }
}
