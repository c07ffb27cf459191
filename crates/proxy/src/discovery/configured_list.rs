//! The list of nodes that the configuration contains for the start. Its text is kept until the proxy has read it at the
//! start; afterwards only the number of entries stays, so that a list of thousands of nodes is in memory only once, in
//! the core.

use anyhow::{Result, ensure};
use serde_json::value::RawValue;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The list of nodes in a configuration, in the format of discovery's answers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfiguredList {
    /// `None` if there is no list or the text was already taken.
    text: Option<Arc<str>>,
    /// The number of entries.
    pub count: usize,
}

impl ConfiguredList {
    /// Parses the raw value of the key `known`. Also returns the value without its entries, which replaces the original
    /// in the configuration that is kept.
    ///
    /// # Errors
    /// When `known` is not an object or its `targets` is not a list.
    pub fn parse(text: &str) -> Result<(ConfiguredList, Json)> {
        let Ok(fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
            let other: Json = serde_json::from_str(text)?;
            ensure!(other.is_null(), "known: expected an object, found {other}");
            return Ok((ConfiguredList::default(), other));
        };
        let (mut outline, mut count) = (serde_json::Map::new(), 0);
        for (name, value) in fields {
            let kept = match serde_json::from_str::<Vec<&RawValue>>(value.get()) {
                Ok(entries) if name == "targets" => {
                    count = entries.len();
                    json!([])
                }
                _ => serde_json::from_str(value.get())?,
            };
            outline.insert(name, kept);
        }
        let targets = outline.get("targets").unwrap_or(&Json::Null);
        ensure!(targets.is_null() || targets.is_array(), "known.targets: expected a list, found {targets}");
        Ok((ConfiguredList { text: Some(text.into()), count }, Json::Object(outline)))
    }

    /// Takes the text of the list; later calls return `None`.
    pub fn take(&mut self) -> Option<Arc<str>> {
        self.text.take()
    }
}
