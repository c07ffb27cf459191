//! Reads scenarios from TOML. Errors name the unknown or invalid key and its line.

use anyhow::{Context, Result, anyhow, bail};
use pumicebay_model::spec::Scenario;
use std::path::Path;
use toml::Value;

/// Reads a scenario file and replaces the values of the keys in `set`. A file may name another one, relative
/// to itself, as its `base`, which supplies the keys that it does not have. Returns an error for unreadable
/// files and invalid scenarios.
pub fn read(path: &Path, set: &[(String, String)]) -> Result<Scenario> {
    let scenario = ScenarioSource::read(path)?.scenario(set);
    let mut scenario = scenario.with_context(|| format!("scenario {}", path.display()))?;
    if scenario.name.is_empty() {
        scenario.name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    }
    Ok(scenario)
}

/// The text of a scenario, and of its base.
pub struct ScenarioSource {
    text: String,
    base: Option<Box<ScenarioSource>>,
}

/// The maximum number of base files in a chain.
const MAX_BASE_DEPTH: usize = 8;

impl ScenarioSource {
    /// A scenario without a base from this text.
    pub fn new(text: &str) -> ScenarioSource {
        ScenarioSource { text: text.into(), base: None }
    }

    /// Reads a scenario file and its bases. Returns an error if a file cannot be read, is no TOML, or has too
    /// long a chain of bases.
    pub fn read(path: &Path) -> Result<ScenarioSource> {
        ScenarioSource::read_nested(path, MAX_BASE_DEPTH)
    }

    fn read_nested(path: &Path, depth: usize) -> Result<ScenarioSource> {
        let text = std::fs::read_to_string(path).with_context(|| format!("scenario {}", path.display()))?;
        let tree: Value =
            toml::from_str(&text).map_err(|error| anyhow!("scenario {}: {error}", path.display()))?;
        let base = match tree.get("base") {
            None => None,
            Some(Value::String(_)) if depth == 0 => {
                bail!("base: more than {MAX_BASE_DEPTH} files in a chain")
            }
            Some(Value::String(name)) => {
                let path = path.parent().unwrap_or(Path::new("")).join(name);
                Some(Box::new(ScenarioSource::read_nested(&path, depth - 1)?))
            }
            Some(other) => bail!("base: expected a file name, found {other}"),
        };
        Ok(ScenarioSource { text, base })
    }

    /// The keys of the scenario and, where it has none, those of its base. Each file is parsed by itself
    /// first, so that errors show the line.
    pub fn tree(&self) -> Result<Value> {
        let own: Result<Scenario, _> = toml::from_str(&self.text);
        own.map_err(|error| anyhow!("{}", error.to_string().trim_end()))?;
        let own: Value = toml::from_str(&self.text).map_err(|error| anyhow!("{error}"))?;
        let Some(base) = &self.base else { return Ok(own) };
        let mut tree = base.tree().context("base scenario")?;
        merge(&mut tree, own);
        Ok(tree)
    }

    /// The scenario with the values of these keys replaced.
    pub fn scenario(&self, set: &[(String, String)]) -> Result<Scenario> {
        let mut tree = self.tree()?;
        for (key, value) in set {
            set_value(&mut tree, key, value).with_context(|| format!("{key} = {value}"))?;
        }
        self.check(tree)
    }

    /// Validates a tree of keys. Errors name the line of each invalid key that is in this file.
    pub fn check(&self, tree: Value) -> Result<Scenario> {
        let scenario: Scenario =
            tree.try_into().map_err(|error: toml::de::Error| anyhow!("{}", error.to_string().trim_end()))?;
        let problems = scenario.validate();
        if problems.is_empty() {
            return Ok(scenario);
        }
        let lines = problems.iter().map(|problem| match line_of_key(&self.text, &problem.key) {
            Some(line) => format!("line {line}: {}: {}", problem.key, problem.message),
            None => format!("{}: {}", problem.key, problem.message),
        });
        bail!("{}", lines.collect::<Vec<_>>().join("\n"))
    }
}

/// A scenario from its text, with the values of these keys replaced.
pub fn parse(text: &str, set: &[(String, String)]) -> Result<Scenario> {
    ScenarioSource::new(text).scenario(set)
}

/// Merges the keys of `overriding` into `base_value`; arrays are replaced, not merged.
fn merge(base_value: &mut Value, overriding: Value) {
    match (base_value, overriding) {
        (Value::Table(base_value), Value::Table(overriding)) => {
            for (key, value) in overriding {
                match base_value.get_mut(&key) {
                    Some(existing) => merge(existing, value),
                    None => {
                        base_value.insert(key, value);
                    }
                }
            }
        }
        (base_value, overriding) => *base_value = overriding,
    }
}

/// Sets the value at a path such as `clients.rate` or `route.0.share`. A value that is no valid TOML is taken
/// as a string. Returns an error if the path leads through a value that is neither a table nor an array, or
/// past the end of an array.
pub fn set_value(tree: &mut Value, key: &str, value: &str) -> Result<()> {
    let parsed: Option<Value> =
        toml::from_str::<toml::Table>(&format!("v = {value}")).ok().and_then(|mut table| table.remove("v"));
    let value = parsed.unwrap_or_else(|| Value::String(value.to_string()));
    let (parents, last) = key.rsplit_once('.').map_or(("", key), |(parents, last)| (parents, last));
    let mut at = tree;
    for part in parents.split('.').filter(|part| !part.is_empty()) {
        at = match at {
            Value::Array(list) => {
                let count = list.len();
                let index: Option<usize> = part.parse().ok();
                let element = index.and_then(|index| list.get_mut(index));
                element.with_context(|| format!("{part}: expected a number below {count}"))?
            }
            Value::Table(table) => table.entry(part).or_insert_with(|| Value::Table(toml::Table::new())),
            _ => bail!("{part}: its parent is neither a table nor an array"),
        };
    }
    match at {
        Value::Table(table) => {
            // An integer is accepted where a float is expected, a string is not.
            let value = match (table.get(last), value) {
                (Some(Value::Float(_)), Value::Integer(number)) => Value::Float(number as f64),
                (_, value) => value,
            };
            table.insert(last.to_string(), value);
        }
        _ => bail!("{last}: its parent is not a table"),
    }
    Ok(())
}

/// The line of the key at this path, from 1; `None` if the text has no such key.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
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

/// The line of the byte at this offset, from 1.
fn line_at(text: &str, offset: usize) -> Option<usize> {
    Some(text.get(..offset)?.matches('\n').count() + 1)
}
