//! The YAML documents that operators submit.

use std::fs;

use cypressfork_core::config::{Application, Item, Template};
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// A document: templates and applications to add, replace or remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Templates to add or replace.
    pub templates: Vec<Template>,
    /// Applications to add or replace.
    pub applications: Vec<Application>,
    /// Objects to remove.
    pub remove: Remove,
}

/// The names of the objects to remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Remove {
    /// Names of templates.
    pub templates: Vec<String>,
    /// Names of applications.
    pub applications: Vec<String>,
}

impl Document {
    /// Returns the items of the change: additions and replacements first, then removals of applications, then of
    /// templates.
    pub fn into_items(self) -> Vec<Item> {
        let templates = self.templates.into_iter().map(Item::Template);
        let applications = self.applications.into_iter().map(Item::Application);
        let removed_applications =
            self.remove.applications.into_iter().map(Item::RemoveApplication);
        let removed_templates = self.remove.templates.into_iter().map(Item::RemoveTemplate);
        templates.chain(applications).chain(removed_applications).chain(removed_templates).collect()
    }
}

/// Reads the files in `paths` and returns their items as one change.
///
/// Fails on the first file that cannot be read or is not a valid document.
pub fn read_items(paths: &[String]) -> Result<Vec<Item>, Error> {
    let mut items = Vec::new();
    for path in paths {
        let bad = |why: String| Error::Unreadable(path.clone(), why);
        let text = fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
        let doc: Document = serde_yaml_ng::from_str(&text).map_err(|e| bad(e.to_string()))?;
        items.extend(doc.into_items());
    }
    Ok(items)
}
