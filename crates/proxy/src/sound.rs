//! Checks of single places in a configuration, whose messages name the key.

use anyhow::{Result, ensure};
use serde_json::Value as Json;

/// What stands there, if anything does, has to pass this test.
pub fn sound(json: &Json, place: &str, wanted: &str, test: impl Fn(&Json) -> bool) -> Result<()> {
    let value = json.pointer(place).unwrap_or(&Json::Null);
    ensure!(value.is_null() || test(value), "{}: expected {wanted}, found {value}", key(place));
    Ok(())
}

/// A place in the configuration as its messages name it.
pub fn key(place: &str) -> String {
    place.trim_start_matches('/').replace('/', ".")
}
