//! The list that a configuration brings for the start. It is kept as text until the start has read it, and nothing but
//! its length after that: a list of thousands is held once, in the decisions.

use anyhow::{Result, ensure};
use serde_json::value::RawValue;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The list of a configuration, in discovery's form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// None where there is no list, or the start has taken it.
    text: Option<Arc<str>>,
    /// How many entries it has.
    pub count: usize,
}

impl Known {
    /// Of the value of the key `known`, as it was written; and what stands for it in the configuration that is kept,
    /// which is all but its entries.
    ///
    /// # Errors
    /// Names the key that is no object or no list.
    pub fn read(text: &str) -> Result<(Known, Json)> {
        let Ok(fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
            let other: Json = serde_json::from_str(text)?;
            ensure!(other.is_null(), "known: expected an object, found {other}");
            return Ok((Known::default(), other));
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
        Ok((Known { text: Some(text.into()), count }, Json::Object(outline)))
    }

    /// The text, for the start; from then on it is gone.
    pub fn take(&mut self) -> Option<Arc<str>> {
        self.text.take()
    }
}
