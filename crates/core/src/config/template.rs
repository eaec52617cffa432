//! Templates with parameters, and the rendering of applications.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use super::object::{ConfigError, Object, ObjectName};
use crate::code::Code;

/// The value of a parameter.
pub type Value = Json;

/// The type of a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A name: at most 64 letters, digits, `-`, `_` and `.`.
    Name,
    /// A string.
    Text,
    /// A non-negative integer.
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
    /// Type of its values.
    pub kind: Kind,
    /// Value for applications without one; without a default the parameter is required.
    #[serde(default)]
    pub default: Option<Value>,
    /// Minimum, for a number.
    #[serde(default)]
    pub min: Option<u64>,
    /// Maximum, for a number.
    #[serde(default)]
    pub max: Option<u64>,
}

/// A template of objects, with `${parameter}` placeholders in their names and values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: String,
    /// Its parameters by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// Content of its objects, by kind and then by name.
    pub objects: BTreeMap<String, BTreeMap<String, Json>>,
}

/// The application of a template: values for its parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Application {
    /// Its name.
    pub name: String,
    /// Name of the template.
    pub template: String,
    /// Values of the template's parameters.
    #[serde(default)]
    pub values: BTreeMap<String, Value>,
}

/// Returns whether `s` is a valid object name.
pub(super) fn is_name(s: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !s.is_empty() && s.len() <= 64 && s.bytes().all(allowed)
}

impl Parameter {
    fn check(&self, place: &str, v: &Value) -> Result<(), ConfigError> {
        let bad = |want: &str| {
            Err(ConfigError::new(Code::ParameterBad, place, format!("{v} is not {want}")))
        };
        match (self.kind, v) {
            (Kind::Name, Json::String(s)) if is_name(s) => Ok(()),
            (Kind::Name, _) => bad("a name of letters, digits, '-', '_' and '.'"),
            (Kind::Text, Json::String(_)) => Ok(()),
            (Kind::Text, _) => bad("a text"),
            (Kind::Number, _) => match v.as_u64() {
                Some(n) => self.check_range(place, n),
                None => bad("a whole number"),
            },
            (Kind::List, Json::Array(_)) => Ok(()),
            (Kind::List, _) => bad("a list"),
            (Kind::Flag, Json::Bool(_)) => Ok(()),
            (Kind::Flag, _) => bad("true or false"),
        }
    }

    fn check_range(&self, place: &str, n: u64) -> Result<(), ConfigError> {
        let (min, max) = (self.min.unwrap_or(0), self.max.unwrap_or(u64::MAX));
        if (min..=max).contains(&n) {
            return Ok(());
        }
        Err(ConfigError::new(Code::ParameterBad, place, format!("{n} is not from {min} to {max}")))
    }
}

impl Template {
    /// Checks the name, the defaults and the kinds of the objects.
    pub(super) fn check(&self) -> Result<(), ConfigError> {
        if !is_name(&self.name) {
            return Err(ConfigError::new(Code::ObjectBad, &self.name, "a template needs a name"));
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

    /// Returns the objects that it renders for an application.
    pub(super) fn render(
        &self,
        a: &Application,
    ) -> Result<BTreeMap<ObjectName, Object>, ConfigError> {
        let values = self.values(a)?;
        let mut out = BTreeMap::new();
        for (kind, objects) in &self.objects {
            for (name, content) in objects {
                let name = substitute_text(&a.name, name, &values)?;
                let name = ObjectName::new(kind, &name)?;
                let object = Object::parse(&name, substitute(&a.name, content, &values)?)?;
                if out.insert(name.clone(), object).is_some() {
                    let why = "rendered twice by this application";
                    return Err(ConfigError::new(Code::ObjectClash, &name.to_string(), why));
                }
            }
        }
        Ok(out)
    }

    /// Returns the value of each parameter: that of the application, or else the default.
    fn values<'a>(
        &'a self,
        a: &'a Application,
    ) -> Result<BTreeMap<&'a str, &'a Value>, ConfigError> {
        if let Some(name) = a.values.keys().find(|n| !self.parameters.contains_key(*n)) {
            let known: Vec<_> = self.parameters.keys().map(String::as_str).collect();
            let why = format!("template {} has: {}", self.name, known.join(", "));
            return Err(ConfigError::new(
                Code::ParameterUnknown,
                &format!("{}.{name}", a.name),
                why,
            ));
        }
        let mut out = BTreeMap::new();
        for (name, p) in &self.parameters {
            let place = format!("{}.{name}", a.name);
            let Some(v) = a.values.get(name).or(p.default.as_ref()) else {
                let why = format!("template {} has no default for it", self.name);
                return Err(ConfigError::new(Code::ParameterMissing, &place, why));
            };
            p.check(&place, v)?;
            out.insert(name.as_str(), v);
        }
        Ok(out)
    }
}

/// Replaces the placeholders in all strings and keys of `content`. A string that is a single
/// placeholder becomes the value with its own type.
fn substitute(
    place: &str,
    content: &Json,
    values: &BTreeMap<&str, &Value>,
) -> Result<Json, ConfigError> {
    match content {
        Json::String(s) => match single_placeholder(s) {
            Some(p) => lookup(place, p, values).cloned(),
            None => substitute_text(place, s, values).map(Json::String),
        },
        Json::Array(items) => items.iter().map(|t| substitute(place, t, values)).collect(),
        Json::Object(map) => map
            .iter()
            .map(|(k, v)| Ok((substitute_text(place, k, values)?, substitute(place, v, values)?)))
            .collect(),
        other => Ok(other.clone()),
    }
}

/// Returns the parameter name, if the string is a single placeholder.
fn single_placeholder(s: &str) -> Option<&str> {
    let p = s.strip_prefix("${")?.strip_suffix('}')?;
    (!p.contains('}')).then_some(p)
}

fn lookup<'a>(
    place: &str,
    p: &str,
    values: &BTreeMap<&str, &'a Value>,
) -> Result<&'a Value, ConfigError> {
    values.get(p).copied().ok_or_else(|| {
        ConfigError::new(
            Code::ParameterUnknown,
            place,
            format!("the template uses ${{{p}}}, which it does not declare"),
        )
    })
}

/// Replaces the placeholders in a string by strings, numbers or flags.
fn substitute_text(
    place: &str,
    s: &str,
    values: &BTreeMap<&str, &Value>,
) -> Result<String, ConfigError> {
    let mut out = String::new();
    let mut rest = s;
    while let Some((before, after)) = rest.split_once("${") {
        let Some((p, tail)) = after.split_once('}') else {
            return Err(ConfigError::new(
                Code::ObjectBad,
                place,
                format!("'{s}' has an unclosed placeholder"),
            ));
        };
        out.push_str(before);
        match lookup(place, p, values)? {
            Json::String(v) => out.push_str(v),
            v @ (Json::Number(_) | Json::Bool(_)) => out.push_str(&v.to_string()),
            v => {
                let why = format!("{v} cannot be inserted into the text '{s}'");
                return Err(ConfigError::new(Code::ParameterBad, place, why));
            }
        }
        rest = tail;
    }
    out.push_str(rest);
    Ok(out)
}
