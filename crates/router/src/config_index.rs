//! The current configuration, indexed for lookups by requests.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use cypressfork_core::code::Code;
use cypressfork_core::config::{
    Account, Budget, Difference, ModelService, Object, ObjectName, PlainService, Service,
};
use cypressfork_core::unit::Version;

/// A client account and its name.
#[derive(Clone, Debug)]
pub struct ClientAccount {
    /// Name of the account.
    pub name: String,
    /// Settings of the account.
    pub settings: Account,
}

/// A service of model engines and its name.
#[derive(Clone, Debug)]
pub struct NamedModelService {
    /// Name of the service.
    pub name: String,
    /// Settings of the service.
    pub service: ModelService,
}

/// A plain service and its name.
#[derive(Clone, Debug)]
pub struct NamedPlainService {
    /// Name of the service.
    pub name: String,
    /// Settings of the service.
    pub service: PlainService,
}

/// The current configuration and its indexes.
#[derive(Clone, Debug, Default)]
pub struct ConfigIndex {
    version: Version,
    objects: BTreeMap<ObjectName, Object>,
    by_key: HashMap<String, Rc<ClientAccount>>,
    by_model: HashMap<String, Rc<NamedModelService>>,
    plain_services: Vec<Rc<NamedPlainService>>,
    budgets: HashMap<(String, String), String>,
}

impl ConfigIndex {
    /// Returns the version of the current configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Applies a difference if its version is higher than the current one. Returns whether it did.
    pub fn update(&mut self, d: Difference) -> bool {
        if d.version <= self.version {
            return false;
        }
        self.version = d.version;
        for (name, object) in d.objects {
            match object {
                Some(o) => self.objects.insert(name, o),
                None => self.objects.remove(&name),
            };
        }
        self.rebuild_indexes();
        true
    }

    fn rebuild_indexes(&mut self) {
        self.by_key.clear();
        self.by_model.clear();
        self.plain_services.clear();
        self.budgets.clear();
        for (name, object) in &self.objects {
            let name = name.name.clone();
            match object {
                Object::Account(a) => {
                    let account = Rc::new(ClientAccount { name, settings: a.clone() });
                    let keys = a.keys.iter().map(|k| (k.clone(), account.clone()));
                    self.by_key.extend(keys);
                }
                Object::Budget(b) => {
                    let pairs = b.services.iter();
                    let pairs =
                        pairs.map(|s| ((b.client_account.clone(), s.clone()), name.clone()));
                    self.budgets.extend(pairs);
                }
                Object::Service(Service::Model(s)) => {
                    let model = Rc::new(NamedModelService { name, service: s.clone() });
                    let models = s.models.iter().map(|m| (m.clone(), model.clone()));
                    self.by_model.extend(models);
                }
                Object::Service(Service::Plain(s)) => {
                    self.plain_services
                        .push(Rc::new(NamedPlainService { name, service: s.clone() }));
                }
            }
        }
        // Longest prefix first, as `plain_service` takes the first match.
        self.plain_services.sort_by_key(|p| std::cmp::Reverse(p.service.prefix.len()));
    }

    /// Returns the client account with a key that has this digest. Fails if there is none or it is
    /// closed.
    pub fn account_by_key(&self, key_digest: &str) -> Result<Rc<ClientAccount>, Code> {
        let account = self.by_key.get(key_digest).ok_or(Code::KeyUnknown)?;
        if account.settings.closed { Err(Code::AccountClosed) } else { Ok(account.clone()) }
    }

    /// Returns the service of a model. Fails if there is none or the client account may not use it.
    pub fn model_service(
        &self,
        account: &ClientAccount,
        model: &str,
    ) -> Result<Rc<NamedModelService>, Code> {
        let m = self.by_model.get(model).ok_or(Code::ModelUnknown)?;
        require_access(account, &m.name)?;
        Ok(m.clone())
    }

    /// Returns the names of the models that a client account may use, in order.
    pub fn model_names(&self, account: &ClientAccount) -> Vec<String> {
        let has_access = |m: &NamedModelService| account.settings.services.contains(&m.name);
        let mut all: Vec<_> =
            self.by_model.iter().filter(|(_, m)| has_access(m)).map(|(n, _)| n.clone()).collect();
        all.sort();
        all
    }

    /// Returns the plain service with the longest prefix of a path. Fails if there is none or the
    /// client account may not use it.
    pub fn plain_service(
        &self,
        account: &ClientAccount,
        path: &str,
    ) -> Result<Rc<NamedPlainService>, Code> {
        let p = self.plain_services.iter().find(|p| path.starts_with(&p.service.prefix));
        let p = p.ok_or(Code::PathUnknown)?;
        require_access(account, &p.name)?;
        Ok(p.clone())
    }

    /// Returns the name and settings of the budget that pays for a client account's use of a
    /// service. Fails if there is none.
    pub fn budget(&self, account: &ClientAccount, service: &str) -> Result<(&str, &Budget), Code> {
        let name = self.budgets.get(&(account.name.clone(), service.to_owned()));
        let name = name.ok_or(Code::BudgetNone)?;
        match self.objects.get(&ObjectName::budget(name)) {
            Some(Object::Budget(b)) => Ok((name, b)),
            _ => Err(Code::BudgetNone),
        }
    }

    /// Returns all services with their names, in order of their names.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.objects.iter().filter_map(|(n, o)| match o {
            Object::Service(s) => Some((n.name.as_str(), s)),
            _ => None,
        })
    }
}

fn require_access(account: &ClientAccount, service: &str) -> Result<(), Code> {
    let has_access = account.settings.services.iter().any(|s| s == service);
    if has_access { Ok(()) } else { Err(Code::ServiceForbidden) }
}
