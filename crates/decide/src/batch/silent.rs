//! Calls whose workers are silent: their pieces go to other workers, and their answers are still
//! taken.

use model::Time;

use super::coordinator::{Coordinator, InFlightCall};
use super::types::{Action, CallEnd};

impl Coordinator {
    /// Counts a call as failed, so that its pieces go to other workers, and awaits its answer: the
    /// worker may only have paused, and a repeat may find no other.
    pub(super) fn call_silent(&mut self, now: Time, call: u64, out: &mut Vec<Action>) {
        let Some(flight) = self.in_flight.get_mut(&call).filter(|f| !f.is_silent) else {
            return;
        };
        flight.is_silent = true;
        let (pieces, started) = (flight.pieces.clone(), flight.started);
        self.workers.call_silent(&flight.worker, flight.bytes, now);
        for (id, piece) in &pieces {
            if let Some(order) = self.orders.get_mut(id) {
                order.call_silent(*piece);
            }
        }
        self.requeue(now, pieces, Some(started), out);
    }

    /// Handles the end of a call that was counted as failed when its worker fell silent.
    pub(super) fn silent_call_ended(
        &mut self,
        now: Time,
        flight: InFlightCall,
        end: CallEnd,
        out: &mut Vec<Action>,
    ) {
        if matches!(end, CallEnd::Answered(_)) {
            self.workers.silent_call_answered(&flight.worker, now);
        }
        for (id, piece) in &flight.pieces {
            if let Some(order) = self.orders.get_mut(id) {
                order.silent_call_ended(*piece);
            }
        }
        self.record_end(now, flight, end, None, out);
    }
}
