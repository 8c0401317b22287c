//! Interface to the platform: traits for the Object API and the host list, their HTTP clients and a
//! budget of calls.

mod budget;
mod error;
mod hosts;
mod http;
mod store;

pub use budget::{BudgetedStore, CallCounts, Reason};
pub use error::{ErrorKind, StoreError};
pub use hosts::{HostList, HostState, HttpHosts};
pub use http::HttpStore;
pub use store::{Future, Store};
