use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use toml::Value;
use toml::de::{DeTable, DeValue};

use super::{NodeSettings, SettingSources};
use crate::error::{InputFault, InputPlace};

/// The prefix of environment variables that override settings.
const VARIABLE_PREFIX: &str = "COMFREYCHUTE_";

/// The variable that names the settings file; it is not a setting itself.
const FILE_VARIABLE: &str = "COMFREYCHUTE_SETTINGS";

/// Untyped settings from all sources; a later source replaces the value of an earlier one.
#[derive(Debug, Default)]
pub(super) struct RawSettings {
    values: BTreeMap<(String, String), (Value, InputPlace)>,
    faults: Vec<InputFault>,
}

impl RawSettings {
    /// Collects the settings of the file, then the variables, then the flags.
    pub(super) fn from_sources(sources: &SettingSources) -> Self {
        let mut raw = Self::default();
        if let Some((path, text)) = &sources.file {
            raw.add_file(path, text);
        }
        for (name, value) in &sources.variables {
            raw.add_variable(name, value);
        }
        for flag in &sources.flags {
            raw.add_flag(flag);
        }
        raw
    }

    /// Returns the place of a setting, or `None` if no source sets it.
    pub(super) fn place(&self, section: &str, key: &str) -> Option<&InputPlace> {
        self.values
            .get(&(section.to_owned(), key.to_owned()))
            .map(|(_, place)| place)
    }

    /// Deserializes the settings; an invalid value is reported as a fault and replaced by the
    /// default.
    pub(super) fn to_settings(&self) -> (NodeSettings, Vec<InputFault>) {
        let mut faults = self.faults.clone();
        let mut table = toml::Table::new();
        for ((section, key), (value, place)) in &self.values {
            match coerce_value(
                section,
                key,
                value,
                matches!(place, InputPlace::Line { .. }),
            ) {
                Ok(value) => {
                    let entry = table
                        .entry(section.clone())
                        .or_insert_with(|| Value::Table(toml::Table::new()));
                    if let Value::Table(entry) = entry {
                        entry.insert(key.clone(), value);
                    }
                }
                Err(problem) => faults.push(InputFault {
                    place: place.clone(),
                    subject: format!("{section}.{key}"),
                    problem: if is_secret(key) {
                        "the value is not a string".to_owned()
                    } else {
                        problem
                    },
                    remedy: "correct the value or remove the key".to_owned(),
                }),
            }
        }
        let settings = NodeSettings::deserialize(Value::Table(table)).unwrap_or_default();
        (settings, faults)
    }

    fn add_file(&mut self, path: &str, text: &str) {
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let start = error.span().map_or(0, |span| span.start);
            self.add_fault(
                line_place(path, text, start),
                "syntax",
                error.message().to_owned(),
                "correct the TOML syntax",
            );
        }
        for (section, value) in table.into_inner() {
            let place = line_place(path, text, section.span().start);
            let DeValue::Table(keys) = value.into_inner() else {
                self.add_fault(
                    place,
                    section.get_ref(),
                    "a key outside a section".to_owned(),
                    "move it below a section such as [instance]",
                );
                continue;
            };
            for (key, value) in keys {
                let place = line_place(path, text, key.span().start);
                match Value::deserialize(value.into_deserializer()) {
                    Ok(value) => self.set(section.get_ref(), key.get_ref(), value, place),
                    Err(error) => self.add_fault(
                        place,
                        &format!("{}.{}", section.get_ref(), key.get_ref()),
                        error.message().to_owned(),
                        "correct the value",
                    ),
                }
            }
        }
    }

    fn add_variable(&mut self, name: &str, value: &str) {
        let Some(rest) = name.strip_prefix(VARIABLE_PREFIX) else {
            return;
        };
        if name == FILE_VARIABLE {
            return;
        }
        let place = InputPlace::Variable(name.to_owned());
        match rest.to_ascii_lowercase().split_once('_') {
            Some((section, key)) => self.set(section, key, Value::String(value.to_owned()), place),
            None => self.add_fault(
                place,
                rest,
                "the name has no key".to_owned(),
                "name it COMFREYCHUTE_<SECTION>_<KEY>",
            ),
        }
    }

    fn add_flag(&mut self, flag: &str) {
        // The value may be a secret, so the place contains only the key.
        let path = flag.split_once('=').map_or(flag, |(path, _)| path);
        let place = InputPlace::Flag(format!("--set {path}"));
        let parts = flag
            .split_once('=')
            .and_then(|(path, value)| Some((path.split_once('.')?, value)));
        match parts {
            Some(((section, key), value)) => {
                self.set(section, key, Value::String(value.to_owned()), place);
            }
            None => self.add_fault(
                place,
                "flag",
                "the override is malformed".to_owned(),
                "write --set section.key=value",
            ),
        }
    }

    fn set(&mut self, section: &str, key: &str, value: Value, place: InputPlace) {
        self.values
            .insert((section.to_owned(), key.to_owned()), (value, place));
    }

    fn add_fault(&mut self, place: InputPlace, subject: &str, problem: String, remedy: &str) {
        self.faults.push(InputFault {
            place,
            subject: subject.to_owned(),
            problem,
            remedy: remedy.to_owned(),
        });
    }
}

/// Converts a value to the type of its setting.
///
/// Variables and flags are text, so unless the value comes from a file, text is also tried as an
/// integer, a boolean and a comma-separated list.
fn coerce_value(
    section: &str,
    key: &str,
    value: &Value,
    is_from_file: bool,
) -> Result<Value, String> {
    let Err(problem) = check_value(section, key, value) else {
        return Ok(value.clone());
    };
    let Some(text) = value.as_str().filter(|_| !is_from_file) else {
        return Err(problem);
    };
    let list = text
        .split(',')
        .map(|item| Value::String(item.trim().to_owned()))
        .collect();
    [
        text.parse().ok().map(Value::Integer),
        text.parse().ok().map(Value::Boolean),
        Some(Value::Array(list)),
    ]
    .into_iter()
    .flatten()
    .find(|form| check_value(section, key, form).is_ok())
    .ok_or(problem)
}

/// Returns whether a setting is a secret. Type errors quote the value, so they are not shown for
/// secrets.
fn is_secret(key: &str) -> bool {
    matches!(key, "secret" | "token")
}

fn check_value(section: &str, key: &str, value: &Value) -> Result<(), String> {
    let keys = toml::Table::from_iter([(key.to_owned(), value.clone())]);
    let table = toml::Table::from_iter([(section.to_owned(), Value::Table(keys))]);
    NodeSettings::deserialize(Value::Table(table))
        .map(|_| ())
        .map_err(|error| error.message().to_owned())
}

fn line_place(path: &str, text: &str, offset: usize) -> InputPlace {
    let before = text.as_bytes().get(..offset).unwrap_or_default();
    InputPlace::Line {
        file: path.to_owned(),
        line: before.split(|byte| *byte == b'\n').count(),
    }
}
