//! To which region the stages of one request go.

use std::time::Duration;

use model::Name;

/// Time by which all stages together have to be sooner elsewhere: half of a call, as wrong as
/// what is known of waits.
const SOONER: Duration = Duration::from_millis(100);
/// Part of the requests that would even two regions out that goes over: each node sees the
/// same figures, and they are as old as an answer.
const DAMPED: f64 = 0.5;

/// The region in place of this one where stages wait less; in proportion to what that gains.
/// Times are those that waits add, for others with the crossings; `draw` is from 0 to 1.
pub fn balance(own: Duration, others: &[(Name, Duration)], draw: f64) -> Option<Name> {
    let (region, there) = others.iter().min_by_key(|(_, wait)| *wait)?;
    let gain = own.checked_sub(*there + SOONER)?;
    let part = DAMPED * gain.as_secs_f64() / own.as_secs_f64();
    (draw < part).then(|| region.clone())
}
