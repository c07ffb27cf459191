//! Reads scenarios: TOML whose unknown and wrong keys are refused by name and line.

use anyhow::{Context, Result, anyhow, bail};
use pumicebay_model::spec::Scenario;
use std::path::Path;
use toml::Value;

/// Reads the file, with these keys set to other values first.
pub fn read(path: &Path, set: &[(String, String)]) -> Result<Scenario> {
    let text = std::fs::read_to_string(path).with_context(|| format!("scenario {}", path.display()))?;
    let mut day = parse(&text, set).with_context(|| format!("scenario {}", path.display()))?;
    if day.name.is_empty() {
        day.name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    }
    Ok(day)
}

pub fn parse(text: &str, set: &[(String, String)]) -> Result<Scenario> {
    let day: Scenario = if set.is_empty() {
        toml::from_str(text).map_err(|error| anyhow!("{}", error.to_string().trim_end()))?
    } else {
        let mut tree: Value = toml::from_str(text).map_err(|error| anyhow!("{error}"))?;
        for (key, value) in set {
            put(&mut tree, key, value).with_context(|| format!("{key} = {value}"))?;
        }
        tree.try_into().map_err(|error: toml::de::Error| anyhow!("{}", error.to_string().trim_end()))?
    };
    let problems = day.problems();
    if problems.is_empty() {
        return Ok(day);
    }
    let lines = problems.iter().map(|problem| match line(text, &problem.key) {
        Some(line) => format!("line {line}: {}: {}", problem.key, problem.why),
        None => format!("{}: {}", problem.key, problem.why),
    });
    bail!("{}", lines.collect::<Vec<_>>().join("\n"))
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
