//! Checks against the JSON schema that is derived from a type.

use jsonschema::{
    ValidationError,
    error::{TypeKind, ValidationErrorKind},
    paths::LocationSegment,
};
use schemars::{JsonSchema, generate::SchemaSettings};
use serde_json::Value;

use super::problem::{Finding, Segment};

/// Checks `document` against the schema of `T`.
pub(crate) fn check<T: JsonSchema>(document: &Value) -> Vec<Finding> {
    let mut schema = schema::<T>();
    bound_integers(&mut schema);
    let validator =
        jsonschema::validator_for(&schema).expect("the schema is valid");
    let mut findings = Vec::new();
    for error in validator.iter_errors(document) {
        add_findings(&schema, &error, &mut findings);
    }
    findings
}

/// Returns the schema of `T`.
pub(crate) fn schema<T: JsonSchema>() -> Value {
    let generator = SchemaSettings::draft2020_12().into_generator();
    generator.into_root_schema_for::<T>().to_value()
}

/// Adds a `maximum` to each `u32`, for which `schemars` only sets the
/// `format`.
fn bound_integers(schema: &mut Value) {
    match schema {
        Value::Object(members) => {
            if members.get("format").is_some_and(|f| f == "uint32") {
                members.insert("maximum".into(), u32::MAX.into());
            }
            members.values_mut().for_each(bound_integers);
        }
        Value::Array(items) => items.iter_mut().for_each(bound_integers),
        _ => {}
    }
}

/// Returns whether values at a path are not shown: operators may write a key
/// where its digest belongs.
fn is_secret(path: &[Segment]) -> bool {
    let has = |name: &str| path.contains(&Segment::from(name));
    has("teams") && has("keys")
}

fn add_findings(
    schema: &Value,
    error: &ValidationError<'_>,
    findings: &mut Vec<Finding>,
) {
    let path: Vec<Segment> = error
        .instance_path()
        .into_iter()
        .map(|segment| match segment {
            LocationSegment::Property(key) => Segment::Key(key.into()),
            LocationSegment::Index(i) => Segment::Index(i),
        })
        .collect();
    let found = match is_secret(&path) {
        true => "a value that is not shown".into(),
        false => describe(error.instance()),
    };
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            for key in unexpected {
                let mut path = path.clone();
                path.push(Segment::from(key.as_str()));
                let found = format!("unknown key \"{key}\"");
                let expected = known_keys(schema, error);
                findings.push(Finding::error(path, found, expected));
            }
        }
        ValidationErrorKind::Required { property } => {
            let found = format!("no key {property}");
            let expected = format!("the required key {property}");
            findings.push(Finding::error(path, found, expected));
        }
        ValidationErrorKind::OneOfNotValid { context }
        | ValidationErrorKind::AnyOf { context } => {
            match matching_branch(error, context) {
                Some(branch) => {
                    branch
                        .iter()
                        .for_each(|e| add_findings(schema, e, findings));
                }
                None => {
                    let allowed: Vec<String> = context
                        .iter()
                        .flatten()
                        .filter_map(describe_allowed)
                        .collect();
                    let expected = allowed.join(" or ");
                    findings.push(Finding::error(path, found, expected));
                }
            }
        }
        ValidationErrorKind::Minimum { limit } => {
            let expected = format!("at least {limit}");
            findings.push(Finding::error(path, found, expected));
        }
        ValidationErrorKind::Maximum { limit } => {
            let expected = format!("at most {limit}");
            findings.push(Finding::error(path, found, expected));
        }
        _ => {
            let expected = describe_allowed(error)
                .unwrap_or_else(|| error.masked_with("the value").to_string());
            findings.push(Finding::error(path, found, expected));
        }
    }
}

/// Returns the errors of the alternative that accepts the type of the value
/// but rejects its members, if there is exactly one such alternative.
fn matching_branch<'a, 'b>(
    error: &ValidationError<'_>,
    context: &'b [Vec<ValidationError<'a>>],
) -> Option<&'b [ValidationError<'a>]> {
    let mut matching = context.iter().filter(|branch| {
        branch.iter().all(|e| {
            e.instance_path() != error.instance_path()
                || matches!(
                    e.kind(),
                    ValidationErrorKind::AdditionalProperties { .. }
                        | ValidationErrorKind::Required { .. }
                )
        })
    });
    let first = matching.next()?;
    matching.next().is_none().then_some(first.as_slice())
}

/// Describes the values that a `const`, `enum` or `type` keyword allows;
/// `None` for any other keyword.
fn describe_allowed(error: &ValidationError<'_>) -> Option<String> {
    match error.kind() {
        ValidationErrorKind::Constant { expected_value } => {
            Some(expected_value.to_string())
        }
        ValidationErrorKind::Enum { options } => {
            let options = options.as_array()?;
            let texts: Vec<_> = options.iter().map(Value::to_string).collect();
            Some(texts.join(" or "))
        }
        ValidationErrorKind::Type { kind } => Some(match kind {
            TypeKind::Single(single) => type_name(&single.to_string()),
            TypeKind::Multiple(set) => {
                let names: Vec<_> =
                    set.iter().map(|t| type_name(&t.to_string())).collect();
                names.join(" or ")
            }
        }),
        _ => None,
    }
}

fn type_name(name: &str) -> String {
    match name {
        "null" => name.into(),
        "array" | "integer" | "object" => format!("an {name}"),
        _ => format!("a {name}"),
    }
}

/// Lists the keys that the schema allows in the object with an unknown key.
fn known_keys(schema: &Value, error: &ValidationError<'_>) -> String {
    let pointer = error.schema_path().as_str();
    let object = pointer.rsplit_once('/').map_or("", |(parent, _)| parent);
    let properties =
        schema.pointer(object).and_then(|o| o["properties"].as_object());
    let keys: Vec<&str> =
        properties.into_iter().flatten().map(|(k, _)| k.as_str()).collect();
    if keys.is_empty() {
        return "a documented key".into();
    }
    format!("one of {}", keys.join(", "))
}

/// Formats a value for a message, with a placeholder for a nested or long one.
pub(crate) fn describe(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".into(),
        Value::Array(_) => "an array".into(),
        Value::String(text) if text.len() > 60 => "a long string".into(),
        scalar => scalar.to_string(),
    }
}
