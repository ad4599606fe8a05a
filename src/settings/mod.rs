/*!
Settings of an instance and the configuration of a site, read from files.

Both are JSON with comments. A document is checked against the schema that is
derived from its type, and against rules that a schema cannot express. All
problems are reported at once, each with the file that the value came from.
*/

mod check;
mod findings;
mod instance;
mod merge;
mod problem;
mod schema;
mod source;

use std::path::Path;

use primrosemast_core::config::Configuration;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use self::{problem::Finding, source::Node};

pub use check::check_configuration;
pub use instance::{
    Dispatch, ForwardingSettings, InstanceSettings, Listen, Resources, Role,
    Timing,
};
pub use problem::{Problem, SettingsError, SettingsErrorKind, Severity};

/// A valid site configuration and its warnings.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The configuration, with its arrays sorted.
    pub configuration: Configuration,
    /// Warnings, sorted by file, line and path.
    pub warnings: Vec<Problem>,
}

/// Reads a base file and an overlay, merges them and checks the result.
///
/// # Errors
///
/// Fails if a file cannot be read or the merged document is not valid; the
/// error holds all problems.
pub fn read_site(
    base: &Path,
    overlay: Option<&Path>,
) -> Result<Site, SettingsError> {
    let overlay = overlay.map(source::read).transpose();
    let (mut document, overlay) = match (source::read(base), overlay) {
        (Ok(base), Ok(overlay)) => (base, overlay),
        (Err(a), Err(b)) => return Err(a.join(b)),
        (Err(e), _) | (_, Err(e)) => return Err(e),
    };
    let mut problems = Vec::new();
    if let Some(overlay) = overlay {
        merge::merge(&mut document, overlay, &mut problems);
    }
    let (parsed, warnings) =
        validate::<Configuration>(&document, check::check_value, problems)?;
    let mut configuration = parsed;
    configuration.sort();
    Ok(Site { configuration, warnings })
}

/// Reads the configuration of a site, without its warnings.
///
/// # Errors
///
/// Fails if a file cannot be read or the merged document is not valid; the
/// error holds all problems.
pub fn load_site(
    base: &Path,
    overlay: Option<&Path>,
) -> Result<Configuration, SettingsError> {
    read_site(base, overlay).map(|site| site.configuration)
}

/// Reads the settings of an instance.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid; the error holds all
/// problems.
pub fn load_instance(path: &Path) -> Result<InstanceSettings, SettingsError> {
    let document = source::read(path)?;
    let (settings, _) =
        validate(&document, instance::check_value, Vec::new())?;
    Ok(settings)
}

/// Checks a document and deserialises it; returns the value and its warnings.
fn validate<T: JsonSchema + DeserializeOwned>(
    document: &Node,
    check: fn(&Value) -> Vec<Finding>,
    mut problems: Vec<Problem>,
) -> Result<(T, Vec<Problem>), SettingsError> {
    let value = document.to_value();
    let findings = schema::check::<T>(&value).into_iter().chain(check(&value));
    problems.extend(findings.map(|finding| document.locate(finding)));
    if problems.iter().any(Problem::is_error) {
        return Err(SettingsError::invalid(problems));
    }
    problems.sort();
    match serde_json::from_value(value) {
        Ok(parsed) => Ok((parsed, problems)),
        Err(e) => {
            let expected = "a document of the documented form";
            problems.push(document.problem(e.to_string(), expected));
            Err(SettingsError::invalid(problems))
        }
    }
}
