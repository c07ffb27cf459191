//! Checks of single values in the configuration, whose errors name the key.

use anyhow::{Result, ensure};
use serde_json::Value as Json;

/// Checks the value at the JSON pointer `place` with `test`. A missing or null value passes.
///
/// # Errors
/// When the test fails; the message names the key, what was `wanted` and what was found.
pub fn check_value(json: &Json, place: &str, wanted: &str, test: impl Fn(&Json) -> bool) -> Result<()> {
    let value = json.pointer(place).unwrap_or(&Json::Null);
    ensure!(value.is_null() || test(value), "{}: expected {wanted}, found {value}", key_path(place));
    Ok(())
}

/// Converts a JSON pointer (`/settings/rules`) to the dotted form that error messages use (`settings.rules`).
pub fn key_path(place: &str) -> String {
    place.trim_start_matches('/').replace('/', ".")
}
