//! The versioned configuration: templates, their applications and the rendered objects.

mod history;
mod object;
mod template;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use history::{Change, Entry, History, Item};
pub use object::{
    Account, Budget, ConfigError, ModelService, Object, ObjectName, PlainService, Priority,
    Service, Upstream, Vm,
};
pub use template::{Application, Kind, Parameter, Template, Value};

use crate::code::Code;
use crate::unit::{Time, Tokens, Version};

/// The rejection of a change, none of which was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of error.
    pub code: Code,
    /// The template, application, parameter or object with the error.
    pub place: String,
    /// What is wrong and what is allowed.
    pub why: String,
    /// The version in force.
    pub version: Version,
}

/// A rendered object and the version that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedObject {
    /// The version that last changed or removed the object.
    pub version: Version,
    /// The object; `None` once it is removed.
    pub object: Option<Object>,
    /// The application that renders it.
    pub owner: String,
}

/// The changes of objects between two versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The later version.
    pub version: Version,
    /// The objects as of the later version; `None` for a removed one.
    pub objects: Vec<(ObjectName, Option<Object>)>,
}

/// The configuration of a control group; part of its replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Config {
    version: Version,
    templates: BTreeMap<String, Template>,
    applications: BTreeMap<String, Application>,
    objects: BTreeMap<ObjectName, VersionedObject>,
    history: History,
}

impl Config {
    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the latest accepted changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the templates by name.
    pub fn templates(&self) -> &BTreeMap<String, Template> {
        &self.templates
    }

    /// Returns the applications by name.
    pub fn applications(&self) -> &BTreeMap<String, Application> {
        &self.applications
    }

    /// Returns the object with this name, unless it does not exist or was removed.
    pub fn object(&self, name: &ObjectName) -> Option<&Object> {
        self.objects.get(name)?.object.as_ref()
    }

    /// Iterates over the objects and their names.
    pub fn objects(&self) -> impl Iterator<Item = (&ObjectName, &Object)> {
        self.objects.iter().filter_map(|(n, s)| Some((n, s.object.as_ref()?)))
    }

    /// Returns the objects that were changed or removed after version `since`.
    pub fn difference(&self, since: Version) -> Difference {
        let newer = self.objects.iter().filter(|(_, s)| s.version > since);
        let objects = newer.map(|(n, s)| (n.clone(), s.object.clone())).collect();
        Difference { version: self.version, objects }
    }

    /// Applies a change as the next version and returns that version, or rejects it as a whole.
    ///
    /// A resend of an accepted change returns the version that the change created. `spent` returns
    /// the tokens spent of a budget; a change that would reduce the budget below them is rejected.
    pub fn apply(
        &mut self,
        now: Time,
        change: &Change,
        spent: impl Fn(&str) -> Tokens,
    ) -> Result<Version, Refusal> {
        if let Some(first) = self.history.find(&change.op) {
            return self.resend_result(first, change);
        }
        if change.base != self.version {
            let why = format!("made from version {}, in force is {}", change.base, self.version);
            return Err(self.refusal(ConfigError::new(Code::VersionStale, "base", why)));
        }
        let draft = self.draft(&change.items).and_then(|d| {
            d.check(&spent)?;
            Ok(d)
        });
        let draft = draft.map_err(|e| self.refusal(e))?;
        let undo = change.items.iter().map(|i| self.inverse(i)).collect();
        *self = draft;
        self.history.push(now, self.version, change.clone(), undo);
        Ok(self.version)
    }

    /// Answers a change whose operation id was used before.
    fn resend_result(&self, first: &Entry, change: &Change) -> Result<Version, Refusal> {
        if first.change == *change {
            return Ok(first.version);
        }
        let why = format!("{} made version {} with other content", change.op, first.version);
        Err(self.refusal(ConfigError::new(Code::OperationReused, "op", why)))
    }

    fn refusal(&self, e: ConfigError) -> Refusal {
        Refusal { code: e.code, place: e.place, why: e.why, version: self.version }
    }

    /// Returns the next version with the items applied and rendered, but without the checks across
    /// objects.
    fn draft(&self, items: &[Item]) -> Result<Config, ConfigError> {
        let mut next = self.clone();
        next.version += 1;
        for item in items {
            next.apply_item(item)?;
        }
        for name in next.affected_applications(items) {
            next.render(&name)?;
        }
        Ok(next)
    }

    fn apply_item(&mut self, item: &Item) -> Result<(), ConfigError> {
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

    /// Returns the names of the applications that have to be rendered again, sorted.
    fn affected_applications(&self, items: &[Item]) -> Vec<String> {
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

    /// Replaces the objects of an application by those that it renders now.
    fn render(&mut self, application: &str) -> Result<(), ConfigError> {
        let rendered = match self.applications.get(application) {
            Some(a) => self.template_of(a)?.render(a)?,
            None => BTreeMap::new(),
        };
        self.remove_missing(application, &rendered);
        for (name, object) in rendered {
            self.insert(application, name, object)?;
        }
        Ok(())
    }

    fn template_of(&self, a: &Application) -> Result<&Template, ConfigError> {
        self.templates.get(&a.template).ok_or_else(|| {
            ConfigError::new(Code::TemplateUnknown, &a.name, format!("no template {}", a.template))
        })
    }

    /// Removes the objects of application `owner` that are not in `keep`.
    fn remove_missing(&mut self, owner: &str, keep: &BTreeMap<ObjectName, Object>) {
        let removed =
            self.objects.iter_mut().filter(|(n, s)| s.owner == owner && !keep.contains_key(n));
        for (_, s) in removed.filter(|(_, s)| s.object.is_some()) {
            s.object = None;
            s.version = self.version;
        }
    }

    /// Sets an object, unless it is unchanged. Fails if it belongs to another application.
    fn insert(&mut self, owner: &str, name: ObjectName, object: Object) -> Result<(), ConfigError> {
        if let Some(s) = self.objects.get(&name) {
            if s.object.is_some() && s.owner != owner {
                let why = format!("already rendered by application {}", s.owner);
                return Err(ConfigError::new(Code::ObjectClash, &name.to_string(), why));
            }
            if s.object.as_ref() == Some(&object) {
                return Ok(());
            }
        }
        let version = self.version;
        self.objects.insert(
            name,
            VersionedObject { version, object: Some(object), owner: owner.to_owned() },
        );
        Ok(())
    }

    /// Checks the references between objects, and the changed budgets against the tokens spent.
    fn check(&self, spent: &impl Fn(&str) -> Tokens) -> Result<(), ConfigError> {
        let exists = |n: &ObjectName| self.object(n).is_some();
        let changed =
            |n: &ObjectName| self.objects.get(n).is_some_and(|s| s.version == self.version);
        for (name, object) in self.objects() {
            object.check(name, &exists)?;
            if let (Object::Budget(b), true) = (object, changed(name)) {
                let s = spent(&name.name);
                if b.tokens < s {
                    let why = format!("{} tokens are spent, {} would be prepaid", s, b.tokens);
                    return Err(ConfigError::new(Code::BudgetBelowSpent, &name.to_string(), why));
                }
            }
        }
        Ok(())
    }

    /// Returns the item that reverts `item`.
    fn inverse(&self, item: &Item) -> Item {
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

    /// Returns the items of a change that restores `version`, or `None` if the history does not reach
    /// back to it.
    pub fn rollback_items(&self, version: Version) -> Option<Vec<Item>> {
        self.history.rollback_items(version)
    }
}
