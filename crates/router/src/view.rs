//! The configuration in force, arranged for requests.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use cypressfork_core::code::Code;
use cypressfork_core::config::{
    Account, Budget, Difference, ModelService, Object, ObjectName, PlainService, Service,
};
use cypressfork_core::unit::Version;

/// A client account as requests need it.
#[derive(Clone, Debug)]
pub struct Client {
    /// Its name.
    pub name: String,
    /// Its settings.
    pub account: Account,
}

/// A service of model engines as requests need it.
#[derive(Clone, Debug)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Its settings.
    pub service: ModelService,
}

/// A plain service as requests need it.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Its name.
    pub name: String,
    /// Its settings.
    pub service: PlainService,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct View {
    version: Version,
    objects: BTreeMap<ObjectName, Object>,
    by_key: HashMap<String, Rc<Client>>,
    by_model: HashMap<String, Rc<Model>>,
    plain: Vec<Rc<Plain>>,
    budgets: HashMap<(String, String), String>,
}

impl View {
    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Takes a difference; one that does not lead to a higher version changes nothing.
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
        self.arrange();
        true
    }

    fn arrange(&mut self) {
        self.by_key.clear();
        self.by_model.clear();
        self.plain.clear();
        self.budgets.clear();
        for (name, object) in &self.objects {
            let name = name.name.clone();
            match object {
                Object::Account(a) => {
                    let client = Rc::new(Client { name, account: a.clone() });
                    let keys = a.keys.iter().map(|k| (k.clone(), client.clone()));
                    self.by_key.extend(keys);
                }
                Object::Budget(b) => {
                    let pairs = b.services.iter();
                    let pairs =
                        pairs.map(|s| ((b.client_account.clone(), s.clone()), name.clone()));
                    self.budgets.extend(pairs);
                }
                Object::Service(Service::Model(s)) => {
                    let model = Rc::new(Model { name, service: s.clone() });
                    let models = s.models.iter().map(|m| (m.clone(), model.clone()));
                    self.by_model.extend(models);
                }
                Object::Service(Service::Plain(s)) => {
                    self.plain.push(Rc::new(Plain { name, service: s.clone() }));
                }
            }
        }
        // The longest prefix that fits wins.
        self.plain.sort_by_key(|p| std::cmp::Reverse(p.service.prefix.len()));
    }

    /// The client account of a key's digest.
    pub fn client(&self, digest: &str) -> Result<Rc<Client>, Code> {
        let client = self.by_key.get(digest).ok_or(Code::KeyUnknown)?;
        if client.account.closed { Err(Code::AccountClosed) } else { Ok(client.clone()) }
    }

    /// The service of a model, if the client account may use it.
    pub fn model(&self, client: &Client, model: &str) -> Result<Rc<Model>, Code> {
        let m = self.by_model.get(model).ok_or(Code::ModelUnknown)?;
        allowed(client, &m.name)?;
        Ok(m.clone())
    }

    /// The models that a client account may use, by name.
    pub fn models(&self, client: &Client) -> Vec<String> {
        let may = |m: &Model| client.account.services.contains(&m.name);
        let mut all: Vec<_> =
            self.by_model.iter().filter(|(_, m)| may(m)).map(|(n, _)| n.clone()).collect();
        all.sort();
        all
    }

    /// The plain service of a path, if the client account may use it.
    pub fn plain(&self, client: &Client, path: &str) -> Result<Rc<Plain>, Code> {
        let p = self.plain.iter().find(|p| path.starts_with(&p.service.prefix));
        let p = p.ok_or(Code::PathUnknown)?;
        allowed(client, &p.name)?;
        Ok(p.clone())
    }

    /// The budget that pays for a client account's use of a service, with its settings.
    pub fn budget(&self, client: &Client, service: &str) -> Result<(&str, &Budget), Code> {
        let name = self.budgets.get(&(client.name.clone(), service.to_owned()));
        let name = name.ok_or(Code::BudgetNone)?;
        match self.objects.get(&ObjectName::budget(name)) {
            Some(Object::Budget(b)) => Ok((name, b)),
            _ => Err(Code::BudgetNone),
        }
    }

    /// All services by name.
    pub fn services(&self) -> impl Iterator<Item = (&str, &Service)> {
        self.objects.iter().filter_map(|(n, o)| match o {
            Object::Service(s) => Some((n.name.as_str(), s)),
            _ => None,
        })
    }
}

fn allowed(client: &Client, service: &str) -> Result<(), Code> {
    let may = client.account.services.iter().any(|s| s == service);
    if may { Ok(()) } else { Err(Code::ServiceForbidden) }
}
