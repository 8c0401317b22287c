//! Small stand-ins for what pumicevale meets: the Object API, the host list,
//! the weight store, engines, stage pools and plain services. Each is seeded,
//! does real if simple work on real text, and shows a fault when told to over
//! HTTP or in its settings. For tests, the quick start and measurements only.

pub mod api;
pub mod args;
pub mod engine;
pub mod faults;
pub mod journal;
pub mod objects;
pub mod run;
pub mod settings;
pub mod target;
pub mod text;
