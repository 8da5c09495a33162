//! The form of a scenario file as a JSON Schema, made from what the reader asks for: it can't say anything else.

use indigohold::checked::{Kind, Setting};
use serde_json::{json, Map, Value};

/// The schema (draft 2020-12).
pub fn schema() -> Value {
    let settings = super::settings();
    let mut root = object(&settings, "");
    root["$schema"] = "https://json-schema.org/draft/2020-12/schema".into();
    root["title"] = "A scenario of the lab".into();
    root
}

fn object(all: &[Setting], path: &str) -> Value {
    let mut properties = Map::new();
    for setting in all {
        let Some((parent, name)) = setting.path.rsplit_once('.').or(Some(("", setting.path.as_str()))) else {
            continue;
        };
        if parent == path {
            properties.insert(name.to_owned(), value(all, setting));
        }
    }
    json!({"type": "object", "additionalProperties": false, "properties": properties})
}

fn value(all: &[Setting], setting: &Setting) -> Value {
    let number = |low: &f64, high: &f64| json!({"type": "number", "minimum": low, "maximum": high});
    match &setting.kind {
        Kind::Number { default, within: (low, high), whole } => {
            let mut out = number(low, high);
            out["default"] = json!(default);
            if *whole {
                out["type"] = "integer".into();
                out["default"] = json!(*default as u64);
            }
            out
        }
        Kind::Flag { default } => json!({"type": "boolean", "default": default}),
        Kind::Text => json!({"type": "string", "minLength": 1}),
        Kind::Texts(most) => json!({"type": "array", "maxItems": most, "items": {"type": "string"}}),
        Kind::Choice(words) => json!({"enum": words, "default": words[0]}),
        Kind::Span { default: (from, to), within: (low, high) } => json!({
            "anyOf": [number(low, high), {"type": "array", "minItems": 2, "maxItems": 2, "items": number(low, high)}],
            "default": [from, to],
        }),
        Kind::Object => object(all, &setting.path),
        Kind::Objects(most) => {
            json!({"type": "array", "maxItems": most, "items": object(all, &setting.path)})
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::{library, Scenario};

    /// Whether a value has only what the schema knows: types and names, not bounds.
    fn fits(schema: &Value, value: &Value) -> bool {
        match value {
            Value::Object(fields) => {
                fields.iter().all(|(name, v)| schema["properties"].get(name).is_some_and(|s| fits(s, v)))
            }
            Value::Array(list) if schema["type"] == "array" => list.iter().all(|v| fits(&schema["items"], v)),
            Value::Array(list) => list.len() == 2 && schema["anyOf"].is_array(),
            Value::String(text) => {
                schema["type"] == "string"
                    || schema["enum"].as_array().is_some_and(|e| e.contains(&text.as_str().into()))
            }
            Value::Bool(_) => schema["type"] == "boolean",
            _ => schema["type"] == "number" || schema["type"] == "integer" || schema["anyOf"].is_array(),
        }
    }

    #[test]
    fn the_library_fits_and_a_stranger_does_not() {
        let schema = schema();
        for (name, text) in library::ALL {
            assert!(fits(&schema, &serde_json::from_str(text).unwrap()), "{name}");
        }
        assert!(!fits(&schema, &json!({"clients": {"rat": 3}})));
        assert!(!fits(&schema, &json!({"faults": [{"what": "sings"}]})));
    }

    /// A file with every setting at its default is read, and is the same scenario as an empty one.
    #[test]
    fn defaults_are_what_the_schema_says() {
        fn filled(schema: &Value) -> Value {
            let fields = schema["properties"].as_object().unwrap().iter();
            let usual = |s: &Value| match s["type"].as_str() {
                Some("object") => Some(filled(s)),
                _ => s.get("default").cloned(),
            };
            fields.filter_map(|(name, s)| Some((name.clone(), usual(s)?))).collect()
        }
        let text = filled(&schema()).to_string();
        let empty = Scenario::read(b"{}").unwrap();
        assert_eq!(Scenario::read(text.as_bytes()).unwrap(), empty, "{text}");
    }

    #[test]
    fn the_guide_names_every_setting() {
        let guide = include_str!("../../../docs/operators/lab.md");
        for setting in crate::scenario::settings() {
            let name = setting.path.rsplit('.').next().unwrap();
            assert!(guide.contains(&format!("`{name}`")) || guide.contains(&format!("`{name}[]`")), "{name}");
        }
    }
}
