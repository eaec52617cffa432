//! Lookup of routes, client accounts and services in the document in force.

use std::collections::HashMap;

use super::document::{Backend, ClientAccount, Document, Limits, Route};
use crate::code::Code;
use crate::hash::Fnv;
use crate::unit::{Tokens, Version};

/// The document in force, indexed by host, key and service name.
#[derive(Clone, Debug)]
pub struct Routes {
    version: Version,
    /// Routes by host in lower case, those with the longest path prefix first.
    by_host: HashMap<String, Vec<Route>>,
    /// Index into `accounts` by key. `None` if the document has no accounts.
    by_key: Option<HashMap<String, usize>>,
    accounts: Vec<ClientAccount>,
    budget_count: usize,
    services: HashMap<String, Backend>,
    limits: Limits,
}

impl Routes {
    /// Builds the indexes for a document.
    pub fn new(d: Document) -> Routes {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for r in d.routes {
            by_host.entry(r.host.to_ascii_lowercase()).or_default().push(r);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let has_accounts = d.accounts.is_some();
        let accounts = d.accounts.unwrap_or_default();
        let keys = accounts.iter().enumerate();
        let keys = keys.flat_map(|(i, a)| a.keys.iter().map(move |k| (k.clone(), i)));
        let by_key = has_accounts.then(|| keys.collect());
        let budget_count = accounts.iter().filter(|a| a.prepaid.is_some()).count();
        let services = d.services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let (version, limits) = (d.version, d.limits);
        Routes { version, by_host, by_key, accounts, budget_count, services, limits }
    }

    /// Returns the version of the document.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers' requests and connections.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route with the longest prefix that matches a request. `host` may include a port.
    /// Fails with [`Code::RouteUnknown`] if there is none.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, Code> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name).ok_or(Code::RouteUnknown)?;
        routes.iter().find(|r| path.starts_with(&r.prefix)).ok_or(Code::RouteUnknown)
    }

    /// Returns the client account of the key that a request on `route` carries, or `None` if the
    /// route is open or the document has no accounts. Fails with [`Code::KeyMissing`] or
    /// [`Code::KeyUnknown`].
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&ClientAccount>, Code> {
        let Some(by_key) = self.by_key.as_ref().filter(|_| !route.open) else { return Ok(None) };
        let key = key.ok_or(Code::KeyMissing)?;
        let i = by_key.get(key).ok_or(Code::KeyUnknown)?;
        Ok(self.accounts.get(*i))
    }

    /// Selects the service for a request among the route's targets in proportion to their weights.
    /// Requests with the same `hash` get the same service. Returns `None` if the weights are all 0 or
    /// the service is unknown.
    pub fn choose_service(&self, route: &Route, hash: u64) -> Option<&Backend> {
        let sum: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = hash.checked_rem(sum)?;
        for t in &route.targets {
            let weight = u64::from(t.weight);
            if left < weight {
                return self.services.get(&t.service);
            }
            left -= weight;
        }
        None
    }

    /// Returns an account's prepaid tokens, or `None` if it is unknown or has no budget.
    pub fn prepaid(&self, account: &str) -> Option<Tokens> {
        self.accounts.iter().find(|a| a.name == account)?.prepaid
    }

    /// Returns the number of accounts with a budget.
    pub fn budget_count(&self) -> usize {
        self.budget_count
    }

    /// Returns the service with this name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.services.get(name)
    }

    /// Returns all services, in no particular order.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.services.values()
    }
}

/// Returns the hash of a request's id, which is the same for every attempt of the request.
pub fn request_hash(id: &str) -> u64 {
    Fnv::new().add_part(id.as_bytes()).finish()
}
