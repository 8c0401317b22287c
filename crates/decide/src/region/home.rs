//! Whether a prompt's home lies in the caller's region or in any.

/// Bytes between regions that are as dear as a token that is read again. A token of a shared part
/// costs as much as 24 bytes, and two of three requests cross to a home that may be in any
/// region, while a part is read again less than once for each of them.
const BYTES_A_TOKEN: u64 = 8;

/// Whether a prompt's homes are those of all regions: its shared parts are then read once and
/// not in each region, and these bytes cross.
pub fn roams(shared: u64, bytes: u64) -> bool {
    shared * BYTES_A_TOKEN > bytes
}
