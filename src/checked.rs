//! Reads and validates operators' JSON files. A file is checked completely: every fault is reported with its path in the
//! file, not only the first one.
//!
//! ```
//! use indigohold::checked;
//!
//! let text = r#"{"kept": {"every_ms": -1, "evry": 2}}"#;
//! let read = |file: &checked::ObjectReader| {
//!     file.object("kept", |kept| kept.number("every_ms", 2_000.0, 10.0..=60_000.0)).unwrap_or(2_000.0)
//! };
//! let faults = checked::read(text.as_bytes(), read).unwrap_err();
//! let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
//! assert_eq!(lines, [
//!     "kept.every_ms: -1 is not within 10 to 60000",
//!     "kept.evry: no such setting",
//! ]);
//! ```

use crate::json;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// A validation error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The path of the setting, such as `kept.every_ms` or `also[2]`; empty if the error concerns the whole file.
    pub path: String,
    /// The error message, without the path.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.path.as_str() {
            "" => f.write_str(&self.what),
            path => write!(f, "{path}: {}", self.what),
        }
    }
}

/// The type and the bounds of a setting.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A number within bounds.
    Number {
        /// The value that applies if the setting is absent.
        default: f64,
        /// The lowest and the highest value permitted.
        within: (f64, f64),
        /// Whether it must be a whole number.
        whole: bool,
    },
    /// True or false.
    Flag {
        /// The value that applies if the setting is absent.
        default: bool,
    },
    /// A non-empty string.
    Text,
    /// A list of strings, with its maximum length.
    Texts(usize),
    /// One of these words; the first is the default.
    Choice(Vec<String>),
    /// A pair of numbers within bounds, the lower one first, or a single number that stands for both.
    Span {
        /// The value that applies if the setting is absent.
        default: (f64, f64),
        /// The lowest and the highest value permitted.
        within: (f64, f64),
    },
    /// An object.
    Object,
    /// A list of objects, with its maximum length. The settings of its entries are described under the path of the list.
    Objects(usize),
}

/// One setting that a file may have.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// Its path, such as `kept.every_ms`.
    pub path: String,
    /// Its type and bounds.
    pub kind: Kind,
}

/// Reads the settings of one JSON object of a file and collects the faults.
pub struct ObjectReader<'a> {
    path: String,
    fields: &'a Map<String, Value>,
    /// The names that were requested so far; any other name in the object is unknown.
    requested: RefCell<BTreeSet<String>>,
    faults: &'a RefCell<Vec<Fault>>,
    /// Collects the requested settings if the file's schema is described and no file is read.
    schema: Option<&'a RefCell<Vec<Setting>>>,
}

/// Returns all settings that `read` requests, in its order. The schema is taken from the reading code itself, so the two
/// can't diverge.
pub fn describe<T>(read: impl FnOnce(&ObjectReader) -> T) -> Vec<Setting> {
    let (faults, settings, fields) = (RefCell::new(Vec::new()), RefCell::new(Vec::new()), Map::new());
    let (requested, schema) = (RefCell::default(), Some(&settings));
    read(&ObjectReader { path: String::new(), fields: &fields, requested, faults: &faults, schema });
    let mut out: Vec<Setting> = Vec::new();
    for setting in settings.into_inner() {
        if !out.iter().any(|s| s.path == setting.path) {
            out.push(setting);
        }
    }
    out
}

/// Reads a file by the settings that `read_settings` requests. A setting that it doesn't request is a fault too.
pub fn read<T>(bytes: &[u8], read_settings: impl FnOnce(&ObjectReader) -> T) -> Result<T, Vec<Fault>> {
    let fault = |what: String| vec![Fault { path: String::new(), what }];
    let value: Value = json::from_slice(bytes).map_err(|e| fault(e.to_string()))?;
    let Value::Object(fields) = &value else { return Err(fault("it must be an object".into())) };
    let faults = RefCell::new(Vec::new());
    let requested = RefCell::default();
    let reader = ObjectReader { path: String::new(), fields, requested, faults: &faults, schema: None };
    let out = read_settings(&reader);
    reader.report_unknown_settings();
    let faults = faults.into_inner();
    if faults.is_empty() {
        Ok(out)
    } else {
        Err(faults)
    }
}

impl ObjectReader<'_> {
    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Records a fault of a setting.
    pub fn fault(&self, name: &str, what: impl Into<String>) {
        self.faults.borrow_mut().push(Fault { path: self.path_of(name), what: what.into() });
    }

    fn describe_setting(&self, name: &str, kind: impl FnOnce() -> Kind) {
        if let Some(schema) = self.schema {
            schema.borrow_mut().push(Setting { path: self.path_of(name), kind: kind() });
        }
    }

    fn get(&self, name: &str) -> Option<&Value> {
        self.requested.borrow_mut().insert(name.to_owned());
        self.fields.get(name).filter(|v| !v.is_null())
    }

    fn report_unknown_settings(&self) {
        let requested = self.requested.borrow();
        for name in self.fields.keys().filter(|name| !requested.contains(*name)) {
            self.fault(name, "no such setting");
        }
    }

    /// Reads a number within bounds.
    pub fn number(&self, name: &str, default: f64, within: RangeInclusive<f64>) -> f64 {
        self.describe_setting(name, || Kind::Number {
            default,
            within: (*within.start(), *within.end()),
            whole: false,
        });
        let Some(value) = self.get(name) else { return default };
        let Some(number) = value.as_f64() else {
            self.fault(name, format!("{value} is no number"));
            return default;
        };
        if !within.contains(&number) {
            self.fault(name, format!("{value} is not within {} to {}", within.start(), within.end()));
            return default;
        }
        number
    }

    /// Reads a whole number within bounds.
    pub fn whole(&self, name: &str, default: u64, within: RangeInclusive<u64>) -> u64 {
        let bounds = (*within.start() as f64, *within.end() as f64);
        self.describe_setting(name, || Kind::Number { default: default as f64, within: bounds, whole: true });
        let number = self.number(name, default as f64, *within.start() as f64..=*within.end() as f64);
        if number.fract() != 0.0 {
            self.fault(name, format!("{number} is no whole number"));
        }
        number as u64
    }

    /// Reads a boolean.
    pub fn flag(&self, name: &str, default: bool) -> bool {
        self.describe_setting(name, || Kind::Flag { default });
        let Some(value) = self.get(name) else { return default };
        value.as_bool().unwrap_or_else(|| {
            self.fault(name, format!("{value} is neither true nor false"));
            default
        })
    }

    /// Reads a non-empty string; `None` if it is absent.
    pub fn text(&self, name: &str) -> Option<String> {
        self.describe_setting(name, || Kind::Text);
        let value = self.get(name)?;
        let text = value.as_str().filter(|t| !t.is_empty());
        if text.is_none() {
            self.fault(name, format!("{value} is no text"));
        }
        text.map(str::to_owned)
    }

    /// Reads a list of strings, at most `max_len`, and parses each. The error of `parse` becomes the fault of that entry.
    pub fn texts<T>(&self, name: &str, max_len: usize, parse: impl Fn(&str) -> Result<T, String>) -> Vec<T> {
        self.describe_setting(name, || Kind::Texts(max_len));
        let Some(value) = self.get(name) else { return Vec::new() };
        let Value::Array(list) = value else {
            self.fault(name, format!("{value} is no list"));
            return Vec::new();
        };
        if list.len() > max_len {
            self.fault(name, format!("{} entries are more than {max_len}", list.len()));
        }
        let mut out = Vec::new();
        for (index, entry) in list.iter().enumerate() {
            match entry.as_str().ok_or_else(|| format!("{entry} is no text")).and_then(&parse) {
                Ok(parsed) => out.push(parsed),
                Err(what) => self.fault(&format!("{name}[{index}]"), what),
            }
        }
        out
    }

    /// Reads a nested object; `None` if it is absent.
    pub fn object<T>(&self, name: &str, read: impl FnOnce(&ObjectReader) -> T) -> Option<T> {
        if self.schema.is_some() {
            self.describe_setting(name, || Kind::Object);
            return Some(read(&self.nested(name, &Map::new())));
        }
        let value = self.get(name)?;
        let Value::Object(fields) = value else {
            self.fault(name, format!("{value} is no object"));
            return None;
        };
        let nested = self.nested(name, fields);
        let out = read(&nested);
        nested.report_unknown_settings();
        Some(out)
    }

    fn nested<'b>(&'b self, name: &str, fields: &'b Map<String, Value>) -> ObjectReader<'b> {
        let (requested, faults, schema) = (RefCell::default(), self.faults, self.schema);
        ObjectReader { path: self.path_of(name), fields, requested, faults, schema }
    }

    /// Reads a list of objects, at most `max_len`; empty if it is absent.
    pub fn objects<T>(&self, name: &str, max_len: usize, read: impl Fn(&ObjectReader) -> T) -> Vec<T> {
        if self.schema.is_some() {
            self.describe_setting(name, || Kind::Objects(max_len));
            return vec![read(&self.nested(name, &Map::new()))];
        }
        let Some(value) = self.get(name) else { return Vec::new() };
        let Value::Array(list) = value else {
            self.fault(name, format!("{value} is no list"));
            return Vec::new();
        };
        if list.len() > max_len {
            self.fault(name, format!("{} entries are more than {max_len}", list.len()));
        }
        let mut out = Vec::new();
        for (index, entry) in list.iter().take(max_len).enumerate() {
            let Value::Object(fields) = entry else {
                self.fault(&format!("{name}[{index}]"), format!("{entry} is no object"));
                continue;
            };
            let nested = self.nested(&format!("{name}[{index}]"), fields);
            out.push(read(&nested));
            nested.report_unknown_settings();
        }
        out
    }

    /// Reads one of a fixed set of words; the first is the default.
    pub fn choice<T: Copy>(&self, name: &str, choices: &[(&str, T)]) -> T {
        self.describe_setting(name, || {
            Kind::Choice(choices.iter().map(|(word, _)| (*word).to_owned()).collect())
        });
        let Some(value) = self.get(name) else { return choices[0].1 };
        let found = value.as_str().and_then(|text| choices.iter().find(|(word, _)| *word == text));
        found.map_or_else(
            || {
                let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
                self.fault(name, format!("{value} is none of {}", words.join(", ")));
                choices[0].1
            },
            |(_, value)| *value,
        )
    }

    /// Reads a pair of numbers within bounds, the lower one first; a single number stands for both.
    pub fn span(&self, name: &str, default: (f64, f64), within: RangeInclusive<f64>) -> (f64, f64) {
        self.describe_setting(name, || Kind::Span { default, within: (*within.start(), *within.end()) });
        let Some(value) = self.get(name) else { return default };
        let pair = match value {
            Value::Array(list) if list.len() == 2 => list[0].as_f64().zip(list[1].as_f64()),
            value => value.as_f64().map(|number| (number, number)),
        };
        match pair {
            Some((low, high)) if low <= high && within.contains(&low) && within.contains(&high) => {
                (low, high)
            }
            _ => {
                let (low, high) = (within.start(), within.end());
                self.fault(name, format!("{value} is no number and no [low, high] within {low} to {high}"));
                default
            }
        }
    }
}
