/*!
The operators' command-line tool.

Every command ends with a report: an exit code, human-readable text and JSON
for programs. What the operator needs if the tool is interrupted, such as the
id of a change, is written to standard error before the change is sent.
*/

mod args;
mod change;
mod client;
mod output;
mod replica;
mod request_log;
mod rollout;
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

/// Timeout of a connection attempt and of a response. A change takes one round
/// trip in the control group, which is far shorter.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exit {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    NotInForce = 4,
    NoResponse = 5,
}

/// Outcome of a command.
struct Report {
    code: Exit,
    text: String,
    json: Value,
}

impl Report {
    fn done(text: impl Into<String>, json: Value) -> Report {
        Report { code: Exit::Done, text: text.into(), json }
    }

    fn failure(code: Exit, message: impl Into<String>) -> Report {
        let text = message.into();
        let json = json!({ "message": text });
        Report { code, text, json }
    }

    fn problems(problems: &[Problem]) -> Report {
        let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
        Report {
            code: Exit::Usage,
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

/// Result of a command or a part of it; the error is the report of a command
/// that ended early.
type CommandResult<T> = Result<T, Report>;

/// Runs the tool and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> u8 {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) => {
            // A request for help exits with 0, incorrect usage with 2.
            let code = if e.use_stderr() { Exit::Usage } else { Exit::Done };
            let _ = e.print();
            return code as u8;
        }
    };
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build();
    let report = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(&matches)),
        Err(e) => Err(Report::failure(Exit::Failed, e.to_string())),
    };
    let (Ok(report) | Err(report)) = report;
    match print(&report, matches.get_flag("json")) {
        Ok(()) => report.code as u8,
        Err(_) => Exit::Failed as u8,
    }
}

fn print(report: &Report, as_json: bool) -> io::Result<()> {
    if as_json {
        let mut json = report.json.clone();
        if report.code != Exit::Done
            && let Value::Object(members) = &mut json
        {
            members.insert("exit_code".into(), (report.code as u8).into());
        }
        return writeln!(io::stdout(), "{json:#}");
    }
    let text = report.text.trim_end();
    if text.is_empty() {
        Ok(())
    } else if report.code == Exit::Done {
        writeln!(io::stdout(), "{text}")
    } else {
        writeln!(io::stderr(), "{text}")
    }
}

async fn dispatch(matches: &ArgMatches) -> CommandResult<Report> {
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
        "rollout" => rollout::rollout(args).await,
        "replica" => replica::replica(args).await,
        _ => unreachable!("clap knows no other command"),
    }
}

fn path_arg<'a>(args: &'a ArgMatches, id: &str) -> Option<&'a PathBuf> {
    args.get_one::<PathBuf>(id)
}

/// Reads the site configuration that the arguments name and prints its
/// warnings to standard error.
fn read_site(args: &ArgMatches) -> CommandResult<Site> {
    let base = path_arg(args, "base").expect("required by clap");
    let site =
        settings::read_site(base, path_arg(args, "overlay").map(|p| &**p))?;
    for warning in &site.warnings {
        eprintln!("{warning}");
    }
    Ok(site)
}

fn check(args: &ArgMatches) -> CommandResult<Report> {
    let mut lines = Vec::new();
    let mut problems = Vec::new();
    let mut warnings = Vec::new();
    if let Some(base) = path_arg(args, "base") {
        let overlay = path_arg(args, "overlay").map(|p| &**p);
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
    if let Some(path) = path_arg(args, "instance") {
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

fn render(args: &ArgMatches) -> CommandResult<Report> {
    let site = read_site(args)?;
    let json = json!(site.configuration);
    Ok(Report::done(format!("{json:#}"), json))
}

async fn diff(args: &ArgMatches) -> CommandResult<Report> {
    let new = read_site(args)?.configuration;
    let old = if let Some(overlay) = path_arg(args, "against_overlay") {
        let base = path_arg(args, "base").expect("required by clap");
        settings::load_site(base, Some(overlay))?
    } else if let Some(path) = path_arg(args, "against") {
        settings::load_site(path, None)?
    } else {
        let operators = operator_addresses(args)?;
        change::running_configuration(&operators).await?.configuration
    };
    let differences = output::differences(&old, &new);
    let text = if differences.is_empty() {
        "no differences".into()
    } else {
        output::difference_lines(&differences)
    };
    Ok(Report::done(text, json!({ "differences": differences })))
}

/// Returns the operator addresses from the arguments or, if there are none,
/// from the environment.
fn operator_addresses(args: &ArgMatches) -> CommandResult<Vec<SocketAddr>> {
    let from_args: Vec<SocketAddr> = args
        .get_many::<SocketAddr>("operator")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    if !from_args.is_empty() {
        return Ok(from_args);
    }
    let variable = std::env::var("PRIMROSEMAST_OPERATOR").unwrap_or_default();
    let mut addresses = Vec::new();
    for text in variable.split(',').map(str::trim).filter(|t| !t.is_empty()) {
        let address = text.parse().map_err(|_| {
            let message = format!(
                "PRIMROSEMAST_OPERATOR: found \"{text}\", expected an IP \
                 address and port"
            );
            Report::failure(Exit::Usage, message)
        })?;
        addresses.push(address);
    }
    if addresses.is_empty() {
        let message = "no operator address: give --operator or set \
                       PRIMROSEMAST_OPERATOR";
        return Err(Report::failure(Exit::Usage, message));
    }
    Ok(addresses)
}

/// Sends a request to one instance after another until one can serve it. The
/// request must be safe to repeat.
async fn call_any(
    operators: &[SocketAddr],
    call: &Call,
) -> CommandResult<Reply> {
    let mut errors = Vec::new();
    let mut failed = None;
    for address in operators {
        match client::call(*address, call, CALL_TIMEOUT).await {
            Ok(reply) if reply.status >= 500 => failed = Some(reply),
            Ok(reply) => return Ok(reply),
            Err(e) => errors.push(e.to_string()),
        }
    }
    if let Some(reply) = failed {
        return Ok(reply);
    }
    let message = format!("no instance responds:\n{}", errors.join("\n"));
    Err(Report::failure(Exit::NoResponse, message))
}

/// Parses the body of a successful response.
fn parse_body<T: serde::de::DeserializeOwned>(
    reply: &Reply,
) -> CommandResult<T> {
    if !reply.is_success() {
        return Err(Report::failure(Exit::Failed, reply.error_text()));
    }
    reply.parse().ok_or_else(|| {
        let message = "the response has an unknown form; is the tool of the \
                       same version as the daemon?";
        Report::failure(Exit::Failed, message)
    })
}

/// Serialises a request body.
fn to_body(value: &impl serde::Serialize) -> bytes::Bytes {
    serde_json::to_vec(value)
        .expect("API types are representable in JSON")
        .into()
}
