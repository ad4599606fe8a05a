//! Documents that record the file, line and path of every value.

use std::{fs, path::Path, sync::Arc};

use jsonc_parser::{
    CollectOptions, ParseOptions, ast, common::Ranged, parse_to_ast,
};
use serde_json::Value;

use super::problem::{
    Finding, Problem, Segment, SettingsError, path_text, push_segment,
};

/// Position of a value in its file.
#[derive(Clone, Debug)]
pub(crate) struct Origin {
    pub(crate) file: Arc<str>,
    pub(crate) line: usize,
    pub(crate) path: String,
}

/// A value with its origin.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) origin: Origin,
    pub(crate) content: Content,
}

/// The content of a value.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    Scalar(Value),
    Array(Vec<Node>),
    Object(Vec<(String, Node)>),
}

impl Node {
    /// Converts to a plain JSON value.
    pub(crate) fn to_value(&self) -> Value {
        match &self.content {
            Content::Scalar(value) => value.clone(),
            Content::Array(items) => {
                items.iter().map(Node::to_value).collect()
            }
            Content::Object(members) => members
                .iter()
                .map(|(key, node)| (key.clone(), node.to_value()))
                .collect(),
        }
    }

    /// Returns a member of an object.
    pub(crate) fn member(&self, key: &str) -> Option<&Node> {
        match &self.content {
            Content::Object(members) => {
                members.iter().find(|(k, _)| k == key).map(|(_, node)| node)
            }
            _ => None,
        }
    }

    /// Returns a string member of an object.
    pub(crate) fn member_str(&self, key: &str) -> Option<&str> {
        match &self.member(key)?.content {
            Content::Scalar(Value::String(text)) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn is_null(&self) -> bool {
        matches!(self.content, Content::Scalar(Value::Null))
    }

    /// Converts a finding in this document into a problem with the position
    /// of the value in its file. If the path leads to a missing value, the
    /// position is that of the closest enclosing value.
    pub(crate) fn locate(&self, finding: Finding) -> Problem {
        let mut node = self;
        let mut remaining = finding.path.as_slice();
        while let [segment, tail @ ..] = remaining {
            let child = match (segment, &node.content) {
                (Segment::Key(key), _) => node.member(key),
                (Segment::Index(i), Content::Array(items)) => items.get(*i),
                _ => None,
            };
            let Some(child) = child else { break };
            node = child;
            remaining = tail;
        }
        let origin = &node.origin;
        let mut path = origin.path.clone();
        for segment in remaining {
            push_segment(&mut path, segment);
        }
        finding.into_problem(origin.file.to_string(), origin.line, path)
    }

    /// Creates an error at this value.
    pub(crate) fn problem(
        &self,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Problem {
        self.locate(Finding::error(Vec::new(), found, expected))
    }
}

/// Reads a file of JSON with comments.
///
/// # Errors
///
/// Fails if the file cannot be read, is not JSON, or repeats a key in an
/// object.
pub(crate) fn read(path: &Path) -> Result<Node, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|e| SettingsError::unreadable(path, &e))?;
    parse(&path.display().to_string(), &text)
}

/// Parses JSON with comments. `file` is the file name given in problems.
pub(crate) fn parse(file: &str, text: &str) -> Result<Node, SettingsError> {
    // Comments and trailing commas are the only extensions to JSON: a missing
    // comma or a hexadecimal number is more likely a mistake than intended.
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let collect = CollectOptions::default();
    let invalid = |line, found: String, expected: &str| {
        let finding = Finding::error(Vec::new(), found, expected);
        let problem = finding.into_problem(file.into(), line, String::new());
        SettingsError::invalid(vec![problem])
    };
    let parsed = parse_to_ast(text, &collect, &options).map_err(|e| {
        let message = e.kind().to_string();
        let found = format!(
            "a syntax error in column {} ({})",
            e.column_display(),
            message.to_lowercase(),
        );
        invalid(e.line_display(), found, "JSON, with or without comments")
    })?;
    let Some(value) = parsed.value else {
        return Err(invalid(1, "no value".into(), "an object"));
    };
    let mut converter = Converter {
        file: file.into(),
        line_starts: line_starts(text),
        path: Vec::new(),
        problems: Vec::new(),
    };
    let node = converter.node(value);
    if converter.problems.is_empty() {
        Ok(node)
    } else {
        Err(SettingsError::invalid(converter.problems))
    }
}

fn line_starts(text: &str) -> Vec<usize> {
    let newlines = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
    std::iter::once(0).chain(newlines.map(|(i, _)| i + 1)).collect()
}

/// Converts the syntax tree of a file to nodes.
struct Converter {
    file: Arc<str>,
    line_starts: Vec<usize>,
    path: Vec<Segment>,
    problems: Vec<Problem>,
}

impl Converter {
    fn node(&mut self, value: ast::Value<'_>) -> Node {
        let origin = self.origin(value.range().start);
        let content = match value {
            ast::Value::Object(object) => {
                Content::Object(self.members(object))
            }
            ast::Value::Array(array) => {
                let mut items = Vec::with_capacity(array.elements.len());
                for (i, element) in array.elements.into_iter().enumerate() {
                    self.path.push(Segment::Index(i));
                    items.push(self.node(element));
                    self.path.pop();
                }
                Content::Array(items)
            }
            ast::Value::StringLit(text) => {
                Content::Scalar(text.value.into_owned().into())
            }
            ast::Value::BooleanLit(flag) => Content::Scalar(flag.value.into()),
            ast::Value::NullKeyword(_) => Content::Scalar(Value::Null),
            ast::Value::NumberLit(number) => {
                Content::Scalar(number_value(number.value))
            }
        };
        Node { origin, content }
    }

    fn members(&mut self, object: ast::Object<'_>) -> Vec<(String, Node)> {
        let mut members: Vec<(String, Node)> = Vec::new();
        for property in object.properties {
            let start = property.range.start;
            let key = property.name.into_string();
            self.path.push(Segment::Key(key.clone()));
            if members.iter().any(|(k, _)| *k == key) {
                let origin = self.origin(start);
                let finding = Finding::error(
                    Vec::new(),
                    "a repeated key",
                    "each key once in an object",
                );
                self.problems.push(finding.into_problem(
                    origin.file.to_string(),
                    origin.line,
                    origin.path,
                ));
            }
            let mut node = self.node(property.value);
            // Problems are reported on the line of the key; the value may
            // start on a later one.
            node.origin.line = self.line(start);
            self.path.pop();
            members.push((key, node));
        }
        members
    }

    fn origin(&self, offset: usize) -> Origin {
        Origin {
            file: Arc::clone(&self.file),
            line: self.line(offset),
            path: path_text(&self.path),
        }
    }

    fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }
}

/// Converts a number literal. `200.0` and `2e2` become integers, as in JSON
/// Schema. A literal that cannot be represented becomes a string, which the
/// schema check rejects where it expects a number.
fn number_value(literal: &str) -> Value {
    /// 2^53, up to which `f64` represents every integer exactly.
    const MAX_EXACT: f64 = 9_007_199_254_740_992.0;
    match literal.parse::<serde_json::Number>() {
        Ok(number) => match number.as_f64() {
            Some(x)
                if number.is_f64()
                    && x.fract() == 0.0
                    && x.abs() <= MAX_EXACT =>
            {
                Value::from(x as i64)
            }
            _ => Value::Number(number),
        },
        Err(_) => literal.into(),
    }
}
