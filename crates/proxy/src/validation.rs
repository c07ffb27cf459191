//! Checks of single values in the configuration, whose errors name the key.

use anyhow::{Result, ensure};
use serde_json::Value as Json;

/// Checks the value that a JSON pointer refers to with `test`. A missing or null value passes.
///
/// # Errors
/// When the test fails; the message names the key, what was `wanted` and what was found.
pub fn check_value(json: &Json, pointer: &str, wanted: &str, test: impl Fn(&Json) -> bool) -> Result<()> {
    let value = json.pointer(pointer).unwrap_or(&Json::Null);
    ensure!(value.is_null() || test(value), "{}: expected {wanted}, found {value}", key_path(pointer));
    Ok(())
}

/// Converts a JSON pointer (`/settings/rules`) to the dotted form that error messages use (`settings.rules`).
pub fn key_path(pointer: &str) -> String {
    pointer.trim_start_matches('/').replace('/', ".")
}
