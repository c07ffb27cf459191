//! The start-up settings: a plain map of names to values. Members of a list go by `name.index.field`.

use crate::host::Nanos;
use hashbrown::HashMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Flag(bool),
    Number(f64),
    Time(Nanos),
    Text(String),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings(HashMap<String, Value>);

impl Settings {
    pub fn put(&mut self, name: impl Into<String>, value: Value) {
        self.0.insert(name.into(), value);
    }

    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }

    pub fn number(&self, name: &str, default: f64) -> f64 {
        match self.0.get(name) {
            Some(Value::Number(number)) => *number,
            _ => default,
        }
    }

    pub fn time(&self, name: &str, default: Nanos) -> Nanos {
        match self.0.get(name) {
            Some(Value::Time(time)) => *time,
            _ => default,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }
}
