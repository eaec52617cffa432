//! The YAML documents that operators submit.

use std::fs;

use cypressfork_core::config::{Application, Item, Template};
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// A document: any number of templates and applications, and what is to be removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Templates to add or replace.
    pub templates: Vec<Template>,
    /// Applications to add or replace.
    pub applications: Vec<Application>,
    /// Names to remove.
    pub remove: Remove,
}

/// Names to remove.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Remove {
    /// Of templates.
    pub templates: Vec<String>,
    /// Of applications.
    pub applications: Vec<String>,
}

impl Document {
    /// The parts of the change.
    pub fn into_items(self) -> Vec<Item> {
        let templates = self.templates.into_iter().map(Item::Template);
        let applications = self.applications.into_iter().map(Item::Application);
        let gone = self.remove.applications.into_iter().map(Item::RemoveApplication);
        let dropped = self.remove.templates.into_iter().map(Item::RemoveTemplate);
        templates.chain(applications).chain(gone).chain(dropped).collect()
    }
}

/// Reads the documents in `paths` as one change.
pub fn read(paths: &[String]) -> Result<Vec<Item>, Error> {
    let mut items = Vec::new();
    for path in paths {
        let bad = |why: String| Error::Document(path.clone(), why);
        let text = fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
        let doc: Document = serde_yaml_ng::from_str(&text).map_err(|e| bad(e.to_string()))?;
        items.extend(doc.into_items());
    }
    Ok(items)
}
