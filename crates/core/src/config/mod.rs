//! Configuration: templates, what is rendered from them, and its numbered versions.

mod history;
mod object;
mod template;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use history::{Change, Entry, History, Item};
pub use object::{
    Account, Budget, Fault, ModelService, Object, ObjectName, PlainService, Priority, Service,
    Upstream, Vm,
};
pub use template::{Application, Kind, Parameter, Template, Value};

use crate::code::Code;
use crate::unit::{Time, Tokens, Version};

/// Why a change was not accepted; nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What kind of fault.
    pub code: Code,
    /// Where it is: a template, application, parameter or object.
    pub place: String,
    /// What is wrong and what would do.
    pub why: String,
    /// The version in force.
    pub version: Version,
}

/// A rendered object with the version that last changed it; `None` once it is removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stamped {
    /// The version.
    pub version: Version,
    /// The object.
    pub object: Option<Object>,
    /// The application that it is rendered from.
    pub owner: String,
}

/// The objects that changed after some version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The version that they lead to.
    pub version: Version,
    /// The changed objects; `None` for a removed one.
    pub objects: Vec<(ObjectName, Option<Object>)>,
}

/// The configuration of one group; part of its replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    version: Version,
    templates: BTreeMap<String, Template>,
    applications: BTreeMap<String, Application>,
    objects: BTreeMap<ObjectName, Stamped>,
    history: History,
}

impl Config {
    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The accepted changes, oldest first, as far as they are kept.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The templates by name.
    pub fn templates(&self) -> &BTreeMap<String, Template> {
        &self.templates
    }

    /// The applications by name.
    pub fn applications(&self) -> &BTreeMap<String, Application> {
        &self.applications
    }

    /// One object.
    pub fn object(&self, name: &ObjectName) -> Option<&Object> {
        self.objects.get(name)?.object.as_ref()
    }

    /// All objects.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectName, &Object)> {
        self.objects.iter().filter_map(|(n, s)| Some((n, s.object.as_ref()?)))
    }

    /// What changed after `since`.
    pub fn difference(&self, since: Version) -> Difference {
        let newer = self.objects.iter().filter(|(_, s)| s.version > since);
        let objects = newer.map(|(n, s)| (n.clone(), s.object.clone())).collect();
        Difference { version: self.version, objects }
    }

    /// Accepts a change whole, as the next version, or refuses it whole.
    ///
    /// A resend of an accepted change gets the version that it made. `spent` tells what is spent
    /// of a budget.
    pub fn apply(
        &mut self,
        now: Time,
        change: &Change,
        spent: impl Fn(&str) -> Tokens,
    ) -> Result<Version, Refusal> {
        if let Some(first) = self.history.find(&change.op) {
            return self.repeated(first, change);
        }
        if change.base != self.version {
            let why = format!("made from version {}, in force is {}", change.base, self.version);
            return Err(self.refusal(Fault::new(Code::VersionStale, "base", why)));
        }
        let draft = self.draft(&change.items).and_then(|d| {
            d.check(&spent)?;
            Ok(d)
        });
        let draft = draft.map_err(|f| self.refusal(f))?;
        let undo = change.items.iter().map(|i| self.undo(i)).collect();
        *self = draft;
        self.history.push(now, self.version, change.clone(), undo);
        Ok(self.version)
    }

    fn repeated(&self, first: &Entry, change: &Change) -> Result<Version, Refusal> {
        if first.change == *change {
            return Ok(first.version);
        }
        let why = format!("{} made version {} with other content", change.op, first.version);
        Err(self.refusal(Fault::new(Code::OperationReused, "op", why)))
    }

    fn refusal(&self, f: Fault) -> Refusal {
        Refusal { code: f.code, place: f.place, why: f.why, version: self.version }
    }

    /// This configuration with the items applied, not yet checked.
    fn draft(&self, items: &[Item]) -> Result<Config, Fault> {
        let mut next = self.clone();
        next.version += 1;
        for item in items {
            next.put(item)?;
        }
        for name in next.touched(items) {
            next.render(&name)?;
        }
        Ok(next)
    }

    fn put(&mut self, item: &Item) -> Result<(), Fault> {
        match item {
            Item::Template(t) => {
                t.check()?;
                self.templates.insert(t.name.clone(), t.clone());
            }
            Item::Application(a) => {
                self.applications.insert(a.name.clone(), a.clone());
            }
            Item::RemoveTemplate(name) => {
                self.templates.remove(name);
            }
            Item::RemoveApplication(name) => {
                self.applications.remove(name);
            }
        }
        Ok(())
    }

    /// The applications that have to be rendered again.
    fn touched(&self, items: &[Item]) -> Vec<String> {
        let mut names = Vec::new();
        for item in items {
            match item {
                Item::Application(a) => names.push(a.name.clone()),
                Item::RemoveApplication(name) => names.push(name.clone()),
                Item::Template(Template { name, .. }) | Item::RemoveTemplate(name) => {
                    let users = self.applications.values().filter(|a| a.template == *name);
                    names.extend(users.map(|a| a.name.clone()));
                }
            }
        }
        names.sort();
        names.dedup();
        names
    }

    fn render(&mut self, application: &str) -> Result<(), Fault> {
        let rendered = match self.applications.get(application) {
            Some(a) => self.template_of(a)?.render(a)?,
            None => BTreeMap::new(),
        };
        self.drop_missing(application, &rendered);
        for (name, object) in rendered {
            self.insert(application, name, object)?;
        }
        Ok(())
    }

    fn template_of(&self, a: &Application) -> Result<&Template, Fault> {
        self.templates.get(&a.template).ok_or_else(|| {
            Fault::new(Code::TemplateUnknown, &a.name, format!("no template {}", a.template))
        })
    }

    fn drop_missing(&mut self, owner: &str, keep: &BTreeMap<ObjectName, Object>) {
        let gone =
            self.objects.iter_mut().filter(|(n, s)| s.owner == owner && !keep.contains_key(n));
        for (_, s) in gone.filter(|(_, s)| s.object.is_some()) {
            s.object = None;
            s.version = self.version;
        }
    }

    fn insert(&mut self, owner: &str, name: ObjectName, object: Object) -> Result<(), Fault> {
        if let Some(s) = self.objects.get(&name) {
            if s.object.is_some() && s.owner != owner {
                let why = format!("already rendered by application {}", s.owner);
                return Err(Fault::new(Code::ObjectClash, &name.to_string(), why));
            }
            if s.object.as_ref() == Some(&object) {
                return Ok(());
            }
        }
        let version = self.version;
        self.objects
            .insert(name, Stamped { version, object: Some(object), owner: owner.to_owned() });
        Ok(())
    }

    /// Checks every object against the others and against what is spent.
    fn check(&self, spent: &impl Fn(&str) -> Tokens) -> Result<(), Fault> {
        let exists = |n: &ObjectName| self.object(n).is_some();
        let changed =
            |n: &ObjectName| self.objects.get(n).is_some_and(|s| s.version == self.version);
        for (name, object) in self.objects() {
            object.check(name, &exists)?;
            if let (Object::Budget(b), true) = (object, changed(name)) {
                let s = spent(&name.name);
                if b.tokens < s {
                    let why = format!("{} tokens are spent, {} would be prepaid", s, b.tokens);
                    return Err(Fault::new(Code::BudgetBelowSpent, &name.to_string(), why));
                }
            }
        }
        Ok(())
    }

    /// The item that takes `item` back.
    fn undo(&self, item: &Item) -> Item {
        match item {
            Item::Template(Template { name, .. }) | Item::RemoveTemplate(name) => {
                match self.templates.get(name) {
                    Some(t) => Item::Template(t.clone()),
                    None => Item::RemoveTemplate(name.clone()),
                }
            }
            Item::Application(Application { name, .. }) | Item::RemoveApplication(name) => {
                match self.applications.get(name) {
                    Some(a) => Item::Application(a.clone()),
                    None => Item::RemoveApplication(name.clone()),
                }
            }
        }
    }

    /// The items that lead back to what was in force at `version`, if the history reaches there.
    pub fn back_to(&self, version: Version) -> Option<Vec<Item>> {
        self.history.back_to(version)
    }
}
