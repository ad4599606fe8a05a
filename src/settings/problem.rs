//! Problems in settings files, with their positions.

use std::{fmt, io, path::Path};

use serde::Serialize;

/// Severity of a problem.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The document cannot be used.
    Error,
    /// The document can be used, but probably contains a mistake.
    Warning,
}

/// A problem in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Problem {
    /// File that the value came from; empty if the document is not a file.
    pub file: String,
    /// Line in the file; 0 if unknown.
    pub line: usize,
    /// Path within the file, for example `routes[2].shares`; empty for the
    /// whole document.
    pub path: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// Severity of the problem.
    pub severity: Severity,
}

impl Problem {
    /// Returns whether the problem prevents the use of the document.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.file.is_empty() {
            f.write_str(&self.file)?;
            if self.line > 0 {
                write!(f, ":{}", self.line)?;
            }
            f.write_str(": ")?;
        }
        if self.severity == Severity::Warning {
            f.write_str("warning: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)
    }
}

/// An element of a path: the key or index of a nested value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Segment {
    Key(String),
    Index(usize),
}

impl From<&str> for Segment {
    fn from(key: &str) -> Segment {
        Segment::Key(key.into())
    }
}

impl From<usize> for Segment {
    fn from(index: usize) -> Segment {
        Segment::Index(index)
    }
}

/// Builds a path from keys and indexes.
macro_rules! segments {
    ($($segment:expr),* $(,)?) => {
        vec![$($crate::settings::problem::Segment::from($segment)),*]
    };
}
pub(crate) use segments;

/// Appends a segment to the text form of a path.
pub(crate) fn push_segment(path: &mut String, segment: &Segment) {
    match segment {
        Segment::Index(i) => path.push_str(&format!("[{i}]")),
        Segment::Key(key) => {
            if !path.is_empty() {
                path.push('.');
            }
            path.push_str(key);
        }
    }
}

/// Formats a path, for example `routes[2].shares`.
pub(crate) fn path_text(path: &[Segment]) -> String {
    let mut text = String::new();
    for segment in path {
        push_segment(&mut text, segment);
    }
    text
}

/// A problem at a path in the merged document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Finding {
    pub(crate) path: Vec<Segment>,
    pub(crate) found: String,
    pub(crate) expected: String,
    pub(crate) severity: Severity,
}

impl Finding {
    /// Creates an error.
    pub(crate) fn error(
        path: Vec<Segment>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Finding {
        Finding {
            path,
            found: found.into(),
            expected: expected.into(),
            severity: Severity::Error,
        }
    }

    /// Creates a warning.
    pub(crate) fn warning(
        path: Vec<Segment>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Finding {
        let severity = Severity::Warning;
        Finding { severity, ..Finding::error(path, found, expected) }
    }

    /// Converts the finding to a problem at a position in a file.
    pub(crate) fn into_problem(
        self,
        file: String,
        line: usize,
        path: String,
    ) -> Problem {
        Problem {
            file,
            line,
            path,
            found: self.found,
            expected: self.expected,
            severity: self.severity,
        }
    }
}

/// Kind of a [`SettingsError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// A file could not be read.
    Unreadable,
    /// A document is not valid.
    Invalid,
}

/// An error with all problems that make settings unusable.
#[derive(Debug)]
pub struct SettingsError {
    kind: SettingsErrorKind,
    problems: Vec<Problem>,
}

impl SettingsError {
    pub(crate) fn invalid(mut problems: Vec<Problem>) -> SettingsError {
        problems.sort();
        problems.dedup();
        SettingsError { kind: SettingsErrorKind::Invalid, problems }
    }

    pub(crate) fn unreadable(path: &Path, error: &io::Error) -> SettingsError {
        let problem = Problem {
            file: path.display().to_string(),
            line: 0,
            path: String::new(),
            found: error.to_string(),
            expected: "a readable file".into(),
            severity: Severity::Error,
        };
        SettingsError {
            kind: SettingsErrorKind::Unreadable,
            problems: vec![problem],
        }
    }

    /// Returns the kind of the error.
    pub fn kind(&self) -> SettingsErrorKind {
        self.kind
    }

    /// Returns all problems, sorted by file, line and path.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Combines the errors of two files.
    pub(crate) fn join(self, other: SettingsError) -> SettingsError {
        let kind = if self.kind == SettingsErrorKind::Unreadable {
            self.kind
        } else {
            other.kind
        };
        let mut problems = self.problems;
        problems.extend(other.problems);
        SettingsError { kind, ..SettingsError::invalid(problems) }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
