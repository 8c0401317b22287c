//! The rules in force, indexed for lookups.

use std::cell::OnceCell;
use std::collections::HashMap;

use bytes::Bytes;
use model::forward::{Allowed, CallerHead, Route, Rules, Service, Workspace};
use model::{Name, hash};

/// A set of rules with lookup indexes.
#[derive(Debug, Default)]
pub struct RuleTable {
    /// The indexed rules; version 0 if none are known.
    pub rules: Rules,
    routes_by_host: HashMap<String, Vec<usize>>,
    workspaces_by_key: HashMap<String, usize>,
    services_by_name: HashMap<Name, usize>,
    encoded: OnceCell<Bytes>,
}

impl RuleTable {
    /// Indexes `rules`.
    pub fn new(rules: Rules) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in rules.routes.iter().enumerate() {
            routes_by_host.entry(route.host.clone()).or_default().push(i);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(rules.routes[*i].path_prefix.len()));
        }
        let keys_of = |(i, w): (usize, &Workspace)| {
            w.keys.iter().map(move |k| (k.clone(), i)).collect::<Vec<_>>()
        };
        let workspaces_by_key = rules.workspaces.iter().enumerate().flat_map(keys_of).collect();
        let services = rules.services.iter().enumerate();
        let services_by_name = services.map(|(i, s)| (s.name.clone(), i)).collect();
        RuleTable {
            rules,
            routes_by_host,
            workspaces_by_key,
            services_by_name,
            encoded: OnceCell::new(),
        }
    }

    /// The rules in the encoding that peers receive; encoded once and shared.
    pub fn encoded(&self) -> Bytes {
        let encode = || rmp_serde::to_vec(&self.rules).expect("rules encode").into();
        self.encoded.get_or_init(encode).clone()
    }

    /// Whether any rules are known.
    pub fn is_known(&self) -> bool {
        self.rules.version > 0
    }

    /// The route of a host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(host)?.iter().map(|i| &self.rules.routes[*i]);
        routes.into_iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// The workspace that an API key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces_by_key.get(key).map(|i| &self.rules.workspaces[*i])
    }

    /// Regions in which a request may be served; without a route, all that its workspace allows.
    pub fn allowed_regions(&self, head: &CallerHead) -> Allowed {
        self.allowed_on_route(self.route(&head.host, &head.path), head)
    }

    /// Regions in which a request on a known route may be served: those that both the route and
    /// the workspace of its key allow, even if the route is open to anonymous callers.
    pub fn allowed_on_route(&self, route: Option<&Route>, head: &CallerHead) -> Allowed {
        let workspace = head.key.as_deref().and_then(|key| self.workspace(key));
        let by_route = route.map_or(&Allowed::ANY, |r| &r.allowed);
        let by_workspace = workspace.map_or(&Allowed::ANY, |w| &w.allowed);
        by_route.intersection(by_workspace)
    }

    /// Routes and workspaces that restrict regions, with the regions that they allow.
    pub fn region_restricted(&self) -> impl Iterator<Item = (&Name, &Allowed)> {
        let routes = self.rules.routes.iter().map(|r| (&r.name, &r.allowed));
        let workspaces = self.rules.workspaces.iter().map(|w| (&w.name, &w.allowed));
        routes.chain(workspaces).filter(|(_, allowed)| !allowed.is_any())
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services_by_name.get(name).map(|i| &self.rules.services[*i])
    }
}

/// Chooses the service of a request by weight; the same `attempt` id always yields the same one.
pub fn choose_service<'a>(route: &'a Route, attempt: &str) -> Option<&'a Name> {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    if total == 0 {
        return route.split.first().map(|s| &s.service);
    }
    let mut point = hash::hash64(attempt.as_bytes()) % total;
    for share in &route.split {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(&share.service);
        }
        point -= weight;
    }
    None
}
