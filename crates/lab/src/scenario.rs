//! Reads scenarios: TOML whose unknown and wrong keys are refused by name and line.

use anyhow::{Context, Result, anyhow, bail};
use pumicebay_model::spec::Scenario;
use std::path::Path;
use toml::Value;

/// Reads the file, with these keys set to other values first. A file may name another as its `base`, relative
/// to itself, whose keys hold where it has none.
pub fn read(path: &Path, set: &[(String, String)]) -> Result<Scenario> {
    let day = Text::read(path)?.scenario(set);
    let mut day = day.with_context(|| format!("scenario {}", path.display()))?;
    if day.name.is_empty() {
        day.name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    }
    Ok(day)
}

/// A scenario as it is written, and what it is based on.
pub struct Text {
    text: String,
    base: Option<Box<Text>>,
}

/// How many files may stand on each other.
const DEEPEST: usize = 8;

impl Text {
    pub fn new(text: &str) -> Text {
        Text { text: text.into(), base: None }
    }

    pub fn read(path: &Path) -> Result<Text> {
        Text::read_deep(path, DEEPEST)
    }

    fn read_deep(path: &Path, depth: usize) -> Result<Text> {
        let text = std::fs::read_to_string(path).with_context(|| format!("scenario {}", path.display()))?;
        let tree: Value =
            toml::from_str(&text).map_err(|error| anyhow!("scenario {}: {error}", path.display()))?;
        let base = match tree.get("base") {
            None => None,
            Some(Value::String(_)) if depth == 0 => bail!("base: more than {DEEPEST} files on each other"),
            Some(Value::String(name)) => {
                let path = path.parent().unwrap_or(Path::new("")).join(name);
                Some(Box::new(Text::read_deep(&path, depth - 1)?))
            }
            Some(other) => bail!("base: expected a file's name, found {other}"),
        };
        Ok(Text { text, base })
    }

    /// All keys, those of the base where this has none. Each file is checked by itself first, so that messages
    /// show the line.
    pub fn tree(&self) -> Result<Value> {
        let own: Result<Scenario, _> = toml::from_str(&self.text);
        own.map_err(|error| anyhow!("{}", error.to_string().trim_end()))?;
        let own: Value = toml::from_str(&self.text).map_err(|error| anyhow!("{error}"))?;
        let Some(base) = &self.base else { return Ok(own) };
        let mut tree = base.tree().context("in its base")?;
        merge(&mut tree, own);
        Ok(tree)
    }

    /// The scenario with these keys set to other values.
    pub fn scenario(&self, set: &[(String, String)]) -> Result<Scenario> {
        let mut tree = self.tree()?;
        for (key, value) in set {
            put(&mut tree, key, value).with_context(|| format!("{key} = {value}"))?;
        }
        self.check(tree)
    }

    /// Checks a tree of keys, naming lines where they stand in these files.
    pub fn check(&self, tree: Value) -> Result<Scenario> {
        let day: Scenario =
            tree.try_into().map_err(|error: toml::de::Error| anyhow!("{}", error.to_string().trim_end()))?;
        let problems = day.validate();
        if problems.is_empty() {
            return Ok(day);
        }
        let lines = problems.iter().map(|problem| match line(&self.text, &problem.key) {
            Some(line) => format!("line {line}: {}: {}", problem.key, problem.message),
            None => format!("{}: {}", problem.key, problem.message),
        });
        bail!("{}", lines.collect::<Vec<_>>().join("\n"))
    }
}

pub fn parse(text: &str, set: &[(String, String)]) -> Result<Scenario> {
    Text::new(text).scenario(set)
}

/// Puts the keys of one tree over those of another; lists are taken whole.
fn merge(under: &mut Value, over: Value) {
    match (under, over) {
        (Value::Table(under), Value::Table(over)) => {
            for (key, value) in over {
                match under.get_mut(&key) {
                    Some(there) => merge(there, value),
                    None => {
                        under.insert(key, value);
                    }
                }
            }
        }
        (under, over) => *under = over,
    }
}

/// Sets the value at a path such as `clients.rate` or `route.0.share`; a value that is no TOML is a text.
pub fn put(tree: &mut Value, key: &str, value: &str) -> Result<()> {
    let parsed: Option<Value> =
        toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut table| table.remove("v"));
    let value = parsed.unwrap_or_else(|| Value::String(value.to_string()));
    let (parents, last) = key.rsplit_once('.').map_or(("", key), |(parents, last)| (parents, last));
    let mut at = tree;
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        at = match at {
            Value::Array(list) => {
                let count = list.len();
                let place: Option<usize> = part.parse().ok();
                let member = place.and_then(|place| list.get_mut(place));
                member.with_context(|| format!("{part}: expected a number below {count}"))?
            }
            Value::Table(table) => table.entry(part).or_insert_with(|| Value::Table(toml::Table::new())),
            _ => bail!("{part}: its parent has no parts"),
        };
    }
    match at {
        Value::Table(table) => {
            // A whole number may stand for any other, a text may not.
            let value = match (table.get(last), value) {
                (Some(Value::Float(_)), Value::Integer(number)) => Value::Float(number as f64),
                (_, value) => value,
            };
            table.insert(last.to_string(), value);
        }
        _ => bail!("{last}: its parent has no named parts"),
    }
    Ok(())
}

/// The line where the key at this path stands, from 1.
fn line(text: &str, key: &str) -> Option<usize> {
    let parsed = toml::de::DeTable::parse(text).ok()?;
    let mut span = None;
    let mut at = toml::de::DeValue::Table(parsed.into_inner());
    for part in key.split('.') {
        let found = match at {
            toml::de::DeValue::Table(mut table) => {
                let (name, value) = table.remove_entry(part)?;
                span = Some(name.span());
                value
            }
            toml::de::DeValue::Array(list) => list.into_iter().nth(part.parse().ok()?)?,
            _ => return line_at(text, span?.start),
        };
        at = found.into_inner();
    }
    line_at(text, span?.start)
}

fn line_at(text: &str, place: usize) -> Option<usize> {
    Some(text.get(..place)?.matches('\n').count() + 1)
}
