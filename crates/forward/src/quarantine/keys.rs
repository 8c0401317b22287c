//! What identifies a request, and parts of it, across callers' attempts and nodes.

use model::Name;
use model::forward::{CallerHead, Fingerprint};

/// Fingerprints of a request and of the parts of its prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestKeys {
    /// Equal for identical requests.
    pub request: Fingerprint,
    /// All parts but the last, at the request's service.
    pub parts: Vec<Fingerprint>,
}

impl RequestKeys {
    /// Keys of a request to a service.
    pub fn new(request: Fingerprint, service: &Name, head: &CallerHead) -> Self {
        let shared = head.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
        let key =
            |id: u64| Fingerprint::of(&[b"prompt part", service.as_bytes(), &id.to_le_bytes()]);
        RequestKeys { request, parts: shared.iter().map(|part| key(part.id)).collect() }
    }

    /// The request's key and those of the parts.
    pub fn all(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}
