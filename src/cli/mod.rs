/*!
The operators' command-line tool.

Every command ends with a report: an exit code, text for people and JSON
for programs. Progress that matters when the tool is interrupted, such as the
id of a change, goes to standard error before the change is sent.
*/

mod args;
mod change;
mod client;
mod output;
mod replica;
mod story;
mod view;

use std::{
    ffi::OsString,
    io::{self, Write},
    net::SocketAddr,
    path::PathBuf,
    time::Duration,
};

use clap::ArgMatches;
use serde_json::{Value, json};

use self::client::{Call, Reply};
use crate::settings::{self, Problem, SettingsError, Site};

pub use args::command;

/// Longest wait for a connection or a response. A change needs one round of
/// the control group, so this is far above the time that it takes.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Code {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    NotInForce = 4,
    NoResponse = 5,
}

/// Result of a command.
struct Report {
    code: Code,
    text: String,
    json: Value,
}

impl Report {
    fn done(text: impl Into<String>, json: Value) -> Report {
        Report { code: Code::Done, text: text.into(), json }
    }

    fn failure(code: Code, message: impl Into<String>) -> Report {
        let text = message.into();
        let json = json!({ "message": text });
        Report { code, text, json }
    }

    fn problems(problems: &[Problem]) -> Report {
        let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
        Report {
            code: Code::Usage,
            text: lines.join("\n"),
            json: json!({ "problems": problems }),
        }
    }
}

impl From<SettingsError> for Report {
    fn from(error: SettingsError) -> Report {
        Report::problems(error.problems())
    }
}

/// Either part of a command's result; `?` ends the command early.
type Step<T> = Result<T, Report>;

/// Runs the tool and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> u8 {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            // Help that was asked for ends with 0, incorrect usage with 2.
            let code = if e.use_stderr() { Code::Usage } else { Code::Done };
            let _ = e.print();
            return code as u8;
        }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(&matches)),
        Err(e) => Err(Report::failure(Code::Failed, e.to_string())),
    };
    let (Ok(report) | Err(report)) = report;
    match print(&report, matches.get_flag("json")) {
        Ok(()) => report.code as u8,
        Err(_) => Code::Failed as u8,
    }
}

fn print(report: &Report, as_json: bool) -> io::Result<()> {
    if as_json {
        let mut json = report.json.clone();
        if report.code != Code::Done
            && let Value::Object(members) = &mut json
        {
            members.insert("exit_code".into(), (report.code as u8).into());
        }
        return writeln!(io::stdout(), "{json:#}");
    }
    let text = report.text.trim_end();
    if text.is_empty() {
        Ok(())
    } else if report.code == Code::Done {
        writeln!(io::stdout(), "{text}")
    } else {
        writeln!(io::stderr(), "{text}")
    }
}

async fn dispatch(matches: &ArgMatches) -> Step<Report> {
    let (name, args) = matches.subcommand().expect("required by clap");
    match name {
        "check" => check(args),
        "render" => render(args),
        "diff" => diff(args).await,
        "apply" => change::apply(args).await,
        "zone" => change::zone(args).await,
        "shares" => change::shares(args).await,
        "status" => view::status(args).await,
        "explain" => view::explain(args).await,
        "query" => view::query(args).await,
        "replica" => replica::replica(args).await,
        _ => unreachable!("clap knows no other command"),
    }
}

fn file<'a>(args: &'a ArgMatches, id: &str) -> Option<&'a PathBuf> {
    args.get_one::<PathBuf>(id)
}

/// Reads the site configuration of the arguments; warnings go to standard
/// error.
fn site(args: &ArgMatches) -> Step<Site> {
    let base = file(args, "base").expect("required by clap");
    let site = settings::read_site(base, file(args, "overlay").map(|p| &**p))?;
    for warning in &site.warnings {
        eprintln!("{warning}");
    }
    Ok(site)
}

fn check(args: &ArgMatches) -> Step<Report> {
    let mut lines = Vec::new();
    let mut problems = Vec::new();
    let mut warnings = Vec::new();
    if let Some(base) = file(args, "base") {
        let overlay = file(args, "overlay").map(|p| &**p);
        match settings::read_site(base, overlay) {
            Ok(site) => {
                let cfg = &site.configuration;
                lines.extend(site.warnings.iter().map(Problem::to_string));
                lines.push(format!(
                    "valid: {} availability zones, {} services, {} \
                     searchers, {} routes",
                    cfg.availability_zones.len(),
                    cfg.services.len(),
                    cfg.searchers().count(),
                    cfg.routes.len(),
                ));
                warnings = site.warnings;
            }
            Err(e) => problems.extend_from_slice(e.problems()),
        }
    }
    if let Some(path) = file(args, "instance") {
        match settings::load_instance(path) {
            Ok(s) => lines.push(format!("valid: instance \"{}\"", s.name)),
            Err(e) => problems.extend_from_slice(e.problems()),
        }
    }
    if problems.is_empty() {
        let json = json!({ "valid": true, "problems": warnings });
        Ok(Report::done(lines.join("\n"), json))
    } else {
        Err(Report::problems(&problems))
    }
}

fn render(args: &ArgMatches) -> Step<Report> {
    let site = site(args)?;
    let json = json!(site.configuration);
    Ok(Report::done(format!("{json:#}"), json))
}

async fn diff(args: &ArgMatches) -> Step<Report> {
    let new = site(args)?.configuration;
    let old = if let Some(overlay) = file(args, "against_overlay") {
        let base = file(args, "base").expect("required by clap");
        settings::load_site(base, Some(overlay))?
    } else if let Some(path) = file(args, "against") {
        settings::load_site(path, None)?
    } else {
        let operators = operators(args)?;
        change::running(&operators).await?.configuration
    };
    let differences = output::differences(&old, &new);
    let text = if differences.is_empty() {
        "no differences".into()
    } else {
        output::difference_lines(&differences)
    };
    Ok(Report::done(text, json!({ "differences": differences })))
}

/// The operator addresses of the arguments or of the environment.
fn operators(args: &ArgMatches) -> Step<Vec<SocketAddr>> {
    let given: Vec<SocketAddr> = args
        .get_many::<SocketAddr>("operator")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    if !given.is_empty() {
        return Ok(given);
    }
    let variable = std::env::var("PRIMROSEMAST_OPERATOR").unwrap_or_default();
    let mut addresses = Vec::new();
    for text in variable.split(',').map(str::trim).filter(|t| !t.is_empty()) {
        let address = text.parse().map_err(|_| {
            let message = format!(
                "PRIMROSEMAST_OPERATOR: found \"{text}\", expected an IP \
                 address and port"
            );
            Report::failure(Code::Usage, message)
        })?;
        addresses.push(address);
    }
    if addresses.is_empty() {
        let message = "no operator address: give --operator or set \
                       PRIMROSEMAST_OPERATOR";
        return Err(Report::failure(Code::Usage, message));
    }
    Ok(addresses)
}

/// Sends a request that may be repeated to one instance after the other,
/// until one can serve it.
async fn ask(operators: &[SocketAddr], call: &Call) -> Step<Reply> {
    let mut errors = Vec::new();
    let mut failed = None;
    for address in operators {
        match client::call(*address, call, CALL_LIMIT).await {
            Ok(reply) if reply.status >= 500 => failed = Some(reply),
            Ok(reply) => return Ok(reply),
            Err(e) => errors.push(e.to_string()),
        }
    }
    if let Some(reply) = failed {
        return Ok(reply);
    }
    let message = format!("no instance responds:\n{}", errors.join("\n"));
    Err(Report::failure(Code::NoResponse, message))
}

/// The body of a successful reply.
fn body<T: serde::de::DeserializeOwned>(reply: &Reply) -> Step<T> {
    if !reply.is_success() {
        return Err(Report::failure(Code::Failed, reply.error_text()));
    }
    reply.parse().ok_or_else(|| {
        let message = "the response has an unknown form; is the tool of the \
                       same version as the daemon?";
        Report::failure(Code::Failed, message)
    })
}

/// Serializes a request body.
fn to_body(value: &impl serde::Serialize) -> bytes::Bytes {
    serde_json::to_vec(value)
        .expect("API types are representable in JSON")
        .into()
}
