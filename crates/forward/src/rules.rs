//! The rules in force, indexed for look-ups.

use std::cell::OnceCell;
use std::collections::HashMap;

use bytes::Bytes;
use model::forward::{Allowed, CallerHead, Route, Rules, Service, Workspace};
use model::{Name, hash};

/// A set of rules and the indexes over it.
#[derive(Debug, Default)]
pub struct RuleTable {
    /// The rules.
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
        let owned = |(i, w): (usize, &Workspace)| {
            w.keys.iter().map(move |k| (k.clone(), i)).collect::<Vec<_>>()
        };
        let workspaces_by_key = rules.workspaces.iter().enumerate().flat_map(owned).collect();
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

    /// The rules as peers take them, encoded once for all that ask.
    pub fn encoded(&self) -> Bytes {
        let encode = || rmp_serde::to_vec(&self.rules).expect("rules encode").into();
        self.encoded.get_or_init(encode).clone()
    }

    /// Whether any rules are known.
    pub fn is_known(&self) -> bool {
        self.rules.version > 0
    }

    /// The route of a host with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(host)?.iter().map(|i| &self.rules.routes[*i]);
        routes.into_iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.workspaces_by_key.get(key).map(|i| &self.rules.workspaces[*i])
    }

    /// Regions in which a request may be served. Without a route nothing is ruled out.
    pub fn allowed_regions(&self, head: &CallerHead) -> Allowed {
        self.allowed_on_route(self.route(&head.host, &head.path), head)
    }

    /// The same of a request whose route is found: what that allows and the workspace of its
    /// key does, on an open route too.
    pub fn allowed_on_route(&self, route: Option<&Route>, head: &CallerHead) -> Allowed {
        let workspace = head.key.as_deref().and_then(|key| self.workspace(key));
        let of_route = route.map_or(&Allowed::ANY, |r| &r.allowed);
        let of_workspace = workspace.map_or(&Allowed::ANY, |w| &w.allowed);
        of_route.intersection(of_workspace)
    }

    /// Names of routes and workspaces that name regions, and what they allow.
    pub fn region_restricted(&self) -> impl Iterator<Item = (&Name, &Allowed)> {
        let routes = self.rules.routes.iter().map(|r| (&r.name, &r.allowed));
        let workspaces = self.rules.workspaces.iter().map(|w| (&w.name, &w.allowed));
        routes.chain(workspaces).filter(|(_, allowed)| !allowed.is_any())
    }

    /// A service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services_by_name.get(name).map(|i| &self.rules.services[*i])
    }
}

/// The service that a request goes to: by weight, and always the same for one attempt.
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
