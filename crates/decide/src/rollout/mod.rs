//! Roll-outs of a service's version, judged and taken back by the nodes themselves.
//!
//! Each node holds [`Versions`]: which version of a service serves, which one is on trial and
//! which gets nothing. Design and ways weighed: docs/design/rollouts.md.

mod versions;

pub use versions::Versions;
