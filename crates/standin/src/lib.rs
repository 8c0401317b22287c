//! Stand-ins for the systems around pumicevale: the Object API, the host list, the weight store,
//! engines, stage pools and plain services. They are seeded, do simple but real work on text, and
//! inject faults on request over HTTP or from their settings. For tests, the quick start and
//! measurements only.

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
