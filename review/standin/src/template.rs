//! Fills in the templates of the deploy file, as `DEPLOY.md` of the users' pages tells it.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Value {
    Text(String),
    Number(f64),
    Bool(bool),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    fn show(&self) -> String {
        match self {
            Value::Text(s) => s.clone(),
            Value::Number(n) => n.to_string(),
            Value::Bool(b) => b.to_string(),
            Value::List(all) => all.iter().map(Value::show).collect::<Vec<_>>().join(","),
            Value::Table(_) => unreachable!("no template shows a whole table"),
        }
    }

    fn find(&self, path: &str) -> Option<&Value> {
        path.split('.').try_fold(self, |v, part| match v {
            Value::Table(t) => t.get(part),
            Value::List(l) => l.get(part.parse::<usize>().ok()?),
            _ => None,
        })
    }
}

/// One round of a repeated part.
struct Round<'a> {
    value: &'a Value,
    key: String,
    last: bool,
}

pub fn render(template: &str, fields: &Value) -> String {
    fill(template, fields, None)
}

fn fill(mut rest: &str, fields: &Value, round: Option<&Round>) -> String {
    let mut out = String::new();
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        let end = at + rest[at..].find("}}").expect("a gap ends");
        let gap = &rest[at + 2..end];
        rest = &rest[end + 2..];
        if let Some(name) = gap.strip_prefix('#') {
            let close = format!("{{{{/{name}}}}}");
            let inner_end = rest.find(&close).expect("a part ends");
            let inner = &rest[..inner_end];
            rest = &rest[inner_end + close.len()..];
            out.push_str(&repeat(inner, fields, fields.find(name)));
            continue;
        }
        match (gap, round) {
            (".", Some(r)) => out.push_str(&r.value.show()),
            ("@", Some(r)) => out.push_str(&r.key),
            (",", Some(r)) => out.push_str(if r.last { "" } else { "," }),
            (name, _) => out.push_str(&fields.find(name).map(Value::show).unwrap_or_default()),
        }
    }
    out + rest
}

fn repeat(inner: &str, fields: &Value, over: Option<&Value>) -> String {
    let all: Vec<(String, &Value)> = match over {
        Some(Value::List(l)) => l.iter().enumerate().map(|(n, v)| (n.to_string(), v)).collect(),
        Some(Value::Table(t)) => t.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Some(Value::Bool(false)) | None => Vec::new(),
        Some(v) => vec![(String::new(), v)],
    };
    let count = all.len();
    let rounds = all.into_iter().enumerate();
    let rounds = rounds.map(|(n, (key, value))| Round { value, key, last: n + 1 == count });
    rounds.map(|r| fill(inner, fields, Some(&r))).collect()
}
