//! Settings as a flat map from names to typed values. Elements of a list are named `name.index.field`.

use crate::host::Nanos;
use hashbrown::HashMap;

/// A value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// True or false.
    Flag(bool),
    /// A number without a unit.
    Number(f64),
    /// A duration in nanoseconds.
    Time(Nanos),
    /// A text.
    Text(String),
}

/// Settings by name. A missing name, or one with a value of another type, has its default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings(HashMap<String, Value>);

impl Settings {
    /// Sets a value, in place of an earlier one of that name.
    pub fn put(&mut self, name: impl Into<String>, value: Value) {
        self.0.insert(name.into(), value);
    }

    /// The flag, false by default.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }

    /// The number, or the default.
    pub fn number(&self, name: &str, default: f64) -> f64 {
        match self.0.get(name) {
            Some(Value::Number(number)) => *number,
            _ => default,
        }
    }

    /// The duration, or the default.
    pub fn time(&self, name: &str, default: Nanos) -> Nanos {
        match self.0.get(name) {
            Some(Value::Time(time)) => *time,
            _ => default,
        }
    }

    /// The text, empty by default.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }
}
