//! Templates with parameters, and their filling in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value as Tree;

use super::object::{Fault, Object, ObjectName};
use crate::code::Code;

/// A parameter's value.
pub type Value = Tree;

/// What a parameter's values may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Letters, digits, `-`, `_` and `.`, at most 64.
    Name,
    /// Any text.
    Text,
    /// A whole number.
    Number,
    /// A list.
    List,
    /// `true` or `false`.
    Flag,
}

/// A parameter of a template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// What its values may be.
    pub kind: Kind,
    /// The value where an application gives none.
    #[serde(default)]
    pub default: Option<Value>,
    /// The least number allowed.
    #[serde(default)]
    pub min: Option<u64>,
    /// The greatest number allowed.
    #[serde(default)]
    pub max: Option<u64>,
}

/// A template: parameters, and objects with `${parameter}` in their names and values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: String,
    /// Its parameters by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// Its objects: kind, then name, then content.
    pub objects: BTreeMap<String, BTreeMap<String, Tree>>,
}

/// A template filled in for one client account, or for one set of services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Its name.
    pub name: String,
    /// The template's name.
    pub template: String,
    /// Values of the template's parameters.
    #[serde(default)]
    pub values: BTreeMap<String, Value>,
}

/// Whether `s` can name an object.
pub(super) fn is_name(s: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !s.is_empty() && s.len() <= 64 && s.bytes().all(fits)
}

impl Parameter {
    fn check(&self, place: &str, v: &Value) -> Result<(), Fault> {
        let bad =
            |want: &str| Err(Fault::new(Code::ParameterBad, place, format!("{v} is not {want}")));
        match (self.kind, v) {
            (Kind::Name, Tree::String(s)) if is_name(s) => Ok(()),
            (Kind::Name, _) => bad("a name of letters, digits, '-', '_' and '.'"),
            (Kind::Text, Tree::String(_)) => Ok(()),
            (Kind::Text, _) => bad("a text"),
            (Kind::Number, _) => match v.as_u64() {
                Some(n) => self.check_range(place, n),
                None => bad("a whole number"),
            },
            (Kind::List, Tree::Array(_)) => Ok(()),
            (Kind::List, _) => bad("a list"),
            (Kind::Flag, Tree::Bool(_)) => Ok(()),
            (Kind::Flag, _) => bad("true or false"),
        }
    }

    fn check_range(&self, place: &str, n: u64) -> Result<(), Fault> {
        let (min, max) = (self.min.unwrap_or(0), self.max.unwrap_or(u64::MAX));
        if (min..=max).contains(&n) {
            return Ok(());
        }
        Err(Fault::new(Code::ParameterBad, place, format!("{n} is not from {min} to {max}")))
    }
}

impl Template {
    /// Checks what can be checked before it is filled in.
    pub(super) fn check(&self) -> Result<(), Fault> {
        if !is_name(&self.name) {
            return Err(Fault::new(Code::ObjectBad, &self.name, "a template needs a name"));
        }
        for (name, p) in &self.parameters {
            if let Some(v) = &p.default {
                p.check(&format!("{}.{name}.default", self.name), v)?;
            }
        }
        for kind in self.objects.keys() {
            ObjectName::new(kind, "any")?;
        }
        Ok(())
    }

    /// The objects for one application.
    pub(super) fn render(&self, a: &Application) -> Result<BTreeMap<ObjectName, Object>, Fault> {
        let values = self.values(a)?;
        let mut out = BTreeMap::new();
        for (kind, objects) in &self.objects {
            for (name, tree) in objects {
                let name = fill_text(&a.name, name, &values)?;
                let name = ObjectName::new(kind, &name)?;
                let object = Object::read(&name, fill(&a.name, tree, &values)?)?;
                if out.insert(name.clone(), object).is_some() {
                    let why = "rendered twice by this application";
                    return Err(Fault::new(Code::ObjectClash, &name.to_string(), why));
                }
            }
        }
        Ok(out)
    }

    fn values<'a>(&'a self, a: &'a Application) -> Result<BTreeMap<&'a str, &'a Value>, Fault> {
        if let Some(name) = a.values.keys().find(|n| !self.parameters.contains_key(*n)) {
            let known: Vec<_> = self.parameters.keys().map(String::as_str).collect();
            let why = format!("template {} has: {}", self.name, known.join(", "));
            return Err(Fault::new(Code::ParameterUnknown, &format!("{}.{name}", a.name), why));
        }
        let mut out = BTreeMap::new();
        for (name, p) in &self.parameters {
            let place = format!("{}.{name}", a.name);
            let Some(v) = a.values.get(name).or(p.default.as_ref()) else {
                let why = format!("template {} has no default for it", self.name);
                return Err(Fault::new(Code::ParameterMissing, &place, why));
            };
            p.check(&place, v)?;
            out.insert(name.as_str(), v);
        }
        Ok(out)
    }
}

fn fill(place: &str, tree: &Tree, values: &BTreeMap<&str, &Value>) -> Result<Tree, Fault> {
    match tree {
        Tree::String(s) => match whole_placeholder(s) {
            Some(p) => lookup(place, p, values).cloned(),
            None => fill_text(place, s, values).map(Tree::String),
        },
        Tree::Array(items) => items.iter().map(|t| fill(place, t, values)).collect(),
        Tree::Object(map) => map
            .iter()
            .map(|(k, v)| Ok((fill_text(place, k, values)?, fill(place, v, values)?)))
            .collect(),
        other => Ok(other.clone()),
    }
}

/// The parameter, if the text is nothing but one placeholder.
fn whole_placeholder(s: &str) -> Option<&str> {
    let p = s.strip_prefix("${")?.strip_suffix('}')?;
    (!p.contains('}')).then_some(p)
}

fn lookup<'a>(
    place: &str,
    p: &str,
    values: &BTreeMap<&str, &'a Value>,
) -> Result<&'a Value, Fault> {
    values.get(p).copied().ok_or_else(|| {
        Fault::new(
            Code::ParameterUnknown,
            place,
            format!("the template uses ${{{p}}}, which it does not declare"),
        )
    })
}

fn fill_text(place: &str, s: &str, values: &BTreeMap<&str, &Value>) -> Result<String, Fault> {
    let mut out = String::new();
    let mut rest = s;
    while let Some((before, after)) = rest.split_once("${") {
        let Some((p, tail)) = after.split_once('}') else {
            return Err(Fault::new(
                Code::ObjectBad,
                place,
                format!("'{s}' has an open placeholder"),
            ));
        };
        out.push_str(before);
        match lookup(place, p, values)? {
            Tree::String(v) => out.push_str(v),
            v @ (Tree::Number(_) | Tree::Bool(_)) => out.push_str(&v.to_string()),
            v => {
                let why = format!("{v} cannot stand inside the text '{s}'");
                return Err(Fault::new(Code::ParameterBad, place, why));
            }
        }
        rest = tail;
    }
    out.push_str(rest);
    Ok(out)
}
