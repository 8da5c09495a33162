//! Operators' JSON files, checked whole: every fault is named with its path in the file, not only the first one.
//!
//! ```
//! use indigohold::checked;
//!
//! let text = r#"{"kept": {"every_ms": -1, "evry": 2}}"#;
//! let read = |doc: &checked::Doc| {
//!     doc.object("kept", |kept| kept.number("every_ms", 2_000.0, 10.0..=60_000.0)).unwrap_or(2_000.0)
//! };
//! let faults = checked::read(text.as_bytes(), read).unwrap_err();
//! let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
//! assert_eq!(lines, [
//!     "kept.every_ms: -1 is not within 10 to 60000",
//!     "kept.evry: no such setting",
//! ]);
//! ```

use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

/// One thing that is wrong in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where, as in `kept.every_ms` or `also[2]`; empty for the file as a whole.
    pub path: String,
    /// What.
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

/// What a setting may be.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A number within bounds.
    Number {
        /// What holds where it is left out.
        default: f64,
        /// The bounds.
        within: (f64, f64),
        /// It must be whole.
        whole: bool,
    },
    /// True or false.
    Flag {
        /// What holds where it is left out.
        default: bool,
    },
    /// A text that is not empty.
    Text,
    /// A list of texts, so many at the most.
    Texts(usize),
    /// One of these words; the first where it is left out.
    Choice(Vec<String>),
    /// Two numbers within bounds, the lower one first, or one that stands for both.
    Span {
        /// What holds where it is left out.
        default: (f64, f64),
        /// The bounds.
        within: (f64, f64),
    },
    /// An object.
    Object,
    /// A list of objects, so many at the most; the settings of one have the path of the list.
    Objects(usize),
}

/// One setting that a file may have.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting {
    /// Where, as in `kept.every_ms`.
    pub path: String,
    /// What it may be.
    pub kind: Kind,
}

/// One object of a file.
pub struct Doc<'a> {
    path: String,
    fields: &'a Map<String, Value>,
    asked: RefCell<BTreeSet<String>>,
    faults: &'a RefCell<Vec<Fault>>,
    /// Where the settings that are asked for are noted, if the form is described and no file read.
    notes: Option<&'a RefCell<Vec<Setting>>>,
}

/// All settings that `by` asks for, in its order: the form of the file, always as the reader has it.
pub fn describe<T>(by: impl FnOnce(&Doc) -> T) -> Vec<Setting> {
    let (faults, notes, fields) = (RefCell::new(Vec::new()), RefCell::new(Vec::new()), Map::new());
    let (asked, notes_of) = (RefCell::default(), Some(&notes));
    by(&Doc { path: String::new(), fields: &fields, asked, faults: &faults, notes: notes_of });
    let mut out: Vec<Setting> = Vec::new();
    for setting in notes.into_inner() {
        if !out.iter().any(|s| s.path == setting.path) {
            out.push(setting);
        }
    }
    out
}

/// Reads a file with whatever `by` asks for. What it did not ask for is a fault too.
pub fn read<T>(bytes: &[u8], by: impl FnOnce(&Doc) -> T) -> Result<T, Vec<Fault>> {
    let fault = |what: String| vec![Fault { path: String::new(), what }];
    let value: Value = serde_json::from_slice(bytes).map_err(|e| fault(e.to_string()))?;
    let Value::Object(fields) = &value else { return Err(fault("it must be an object".into())) };
    let faults = RefCell::new(Vec::new());
    let doc = Doc { path: String::new(), fields, asked: RefCell::default(), faults: &faults, notes: None };
    let out = by(&doc);
    doc.strangers();
    let faults = faults.into_inner();
    if faults.is_empty() {
        Ok(out)
    } else {
        Err(faults)
    }
}

impl Doc<'_> {
    fn at(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    /// Something is wrong with a setting.
    pub fn fault(&self, name: &str, what: impl Into<String>) {
        self.faults.borrow_mut().push(Fault { path: self.at(name), what: what.into() });
    }

    fn note(&self, name: &str, kind: impl FnOnce() -> Kind) {
        if let Some(notes) = self.notes {
            notes.borrow_mut().push(Setting { path: self.at(name), kind: kind() });
        }
    }

    fn get(&self, name: &str) -> Option<&Value> {
        self.asked.borrow_mut().insert(name.to_owned());
        self.fields.get(name).filter(|v| !v.is_null())
    }

    fn strangers(&self) {
        let asked = self.asked.borrow();
        for name in self.fields.keys().filter(|name| !asked.contains(*name)) {
            self.fault(name, "no such setting");
        }
    }

    /// A number within bounds.
    pub fn number(&self, name: &str, default: f64, within: RangeInclusive<f64>) -> f64 {
        self.note(name, || Kind::Number { default, within: (*within.start(), *within.end()), whole: false });
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

    /// A whole number within bounds.
    pub fn whole(&self, name: &str, default: u64, within: RangeInclusive<u64>) -> u64 {
        let bounds = (*within.start() as f64, *within.end() as f64);
        self.note(name, || Kind::Number { default: default as f64, within: bounds, whole: true });
        let number = self.number(name, default as f64, *within.start() as f64..=*within.end() as f64);
        if number.fract() != 0.0 {
            self.fault(name, format!("{number} is no whole number"));
        }
        number as u64
    }

    /// True or false.
    pub fn flag(&self, name: &str, default: bool) -> bool {
        self.note(name, || Kind::Flag { default });
        let Some(value) = self.get(name) else { return default };
        value.as_bool().unwrap_or_else(|| {
            self.fault(name, format!("{value} is neither true nor false"));
            default
        })
    }

    /// A text that is not empty.
    pub fn text(&self, name: &str) -> Option<String> {
        self.note(name, || Kind::Text);
        let value = self.get(name)?;
        let text = value.as_str().filter(|t| !t.is_empty());
        if text.is_none() {
            self.fault(name, format!("{value} is no text"));
        }
        text.map(str::to_owned)
    }

    /// A list of texts, each read by `by`; whose error says what is wrong with one.
    pub fn texts<T>(&self, name: &str, most: usize, by: impl Fn(&str) -> Result<T, String>) -> Vec<T> {
        self.note(name, || Kind::Texts(most));
        let Some(value) = self.get(name) else { return Vec::new() };
        let Value::Array(list) = value else {
            self.fault(name, format!("{value} is no list"));
            return Vec::new();
        };
        if list.len() > most {
            self.fault(name, format!("{} entries are more than {most}", list.len()));
        }
        let mut out = Vec::new();
        for (n, entry) in list.iter().enumerate() {
            match entry.as_str().ok_or_else(|| format!("{entry} is no text")).and_then(&by) {
                Ok(read) => out.push(read),
                Err(what) => self.fault(&format!("{name}[{n}]"), what),
            }
        }
        out
    }

    /// An object within this one; `None` if it is absent.
    pub fn object<T>(&self, name: &str, by: impl FnOnce(&Doc) -> T) -> Option<T> {
        if self.notes.is_some() {
            self.note(name, || Kind::Object);
            return Some(by(&self.within(name, &Map::new())));
        }
        let value = self.get(name)?;
        let Value::Object(fields) = value else {
            self.fault(name, format!("{value} is no object"));
            return None;
        };
        let doc = self.within(name, fields);
        let out = by(&doc);
        doc.strangers();
        Some(out)
    }

    fn within<'b>(&'b self, name: &str, fields: &'b Map<String, Value>) -> Doc<'b> {
        let (asked, faults, notes) = (RefCell::default(), self.faults, self.notes);
        Doc { path: self.at(name), fields, asked, faults, notes }
    }

    /// A list of objects, each read by `by`; empty if it is absent.
    pub fn objects<T>(&self, name: &str, most: usize, by: impl Fn(&Doc) -> T) -> Vec<T> {
        if self.notes.is_some() {
            self.note(name, || Kind::Objects(most));
            return vec![by(&self.within(name, &Map::new()))];
        }
        let Some(value) = self.get(name) else { return Vec::new() };
        let Value::Array(list) = value else {
            self.fault(name, format!("{value} is no list"));
            return Vec::new();
        };
        if list.len() > most {
            self.fault(name, format!("{} entries are more than {most}", list.len()));
        }
        let mut out = Vec::new();
        for (n, entry) in list.iter().take(most).enumerate() {
            let Value::Object(fields) = entry else {
                self.fault(&format!("{name}[{n}]"), format!("{entry} is no object"));
                continue;
            };
            let doc = self.within(&format!("{name}[{n}]"), fields);
            out.push(by(&doc));
            doc.strangers();
        }
        out
    }

    /// One of a few words, the first of them if it is absent.
    pub fn choice<T: Copy>(&self, name: &str, of: &[(&str, T)]) -> T {
        self.note(name, || Kind::Choice(of.iter().map(|(word, _)| (*word).to_owned()).collect()));
        let Some(value) = self.get(name) else { return of[0].1 };
        let found = value.as_str().and_then(|text| of.iter().find(|(word, _)| *word == text));
        found.map_or_else(
            || {
                let words: Vec<&str> = of.iter().map(|(word, _)| *word).collect();
                self.fault(name, format!("{value} is none of {}", words.join(", ")));
                of[0].1
            },
            |(_, value)| *value,
        )
    }

    /// Two numbers, the lower one first, both within bounds; one number stands for both.
    pub fn span(&self, name: &str, default: (f64, f64), within: RangeInclusive<f64>) -> (f64, f64) {
        self.note(name, || Kind::Span { default, within: (*within.start(), *within.end()) });
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
