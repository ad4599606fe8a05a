//! Arguments of the tool.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed
  2  incorrect usage or settings
  3  conflict: the configuration has another version than expected
  4  accepted, but not in force everywhere in time
  5  no response; the outcome is unknown

Environment:
  PRIMROSEMAST_OPERATOR  operator addresses, separated by commas, for when
                         --operator is not given";

const EXAMPLES: &str = "\
Examples:
  primrosemast check configs/abay/base.jsonc
  primrosemast apply configs/abay/base.jsonc \\
      --overlay configs/abay/overlays/gondar.jsonc --wait
  primrosemast zone out zone-c --wait
  primrosemast status --operator 127.0.0.1:7401";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("primrosemast")
        .about("Operates a primrosemast query tier")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON for programs"),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .global(true)
                .action(ArgAction::Append)
                .value_name("ADDR")
                .value_parser(value_parser!(SocketAddr))
                .help(
                    "Operator address of an instance; may be repeated, and \
                     the next is tried when one does not respond",
                ),
        )
        .subcommand(check())
        .subcommand(
            site_args(Command::new("render"))
                .about("Print the merged site configuration as JSON")
                .after_help(
                    "Example:\n  primrosemast render base.jsonc --overlay \
                     site.jsonc",
                ),
        )
        .subcommand(diff())
        .subcommand(apply())
        .subcommand(zone())
        .subcommand(shares())
        .subcommand(
            Command::new("status")
                .about("Show instances, their versions and targets")
                .arg(
                    Arg::new("targets")
                        .long("targets")
                        .action(ArgAction::SetTrue)
                        .help("List every target with its home"),
                )
                .after_help(
                    "Example:\n  primrosemast status --targets --operator \
                     127.0.0.1:7401",
                ),
        )
        .subcommand(
            Command::new("explain")
                .about("Show the decisions on a caller's request")
                .arg(Arg::new("request_id").required(true))
                .arg(
                    Arg::new("log")
                        .long("log")
                        .value_name("FILE")
                        .action(ArgAction::Append)
                        .value_parser(value_parser!(PathBuf))
                        .help(
                            "Read log files of instances instead of asking \
                             them; - for standard input",
                        ),
                )
                .after_help(
                    "Examples:\n  primrosemast explain order-17\n  \
                     primrosemast explain 6f4a441b --log a.log --log b.log",
                ),
        )
        .subcommand(query())
        .subcommand(rollout())
        .subcommand(replica())
}

/// Adds the arguments for a base file and an overlay.
fn site_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("base")
                .value_name("BASE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Base file of the site configuration"),
        )
        .arg(overlay())
}

fn overlay() -> Arg {
    Arg::new("overlay")
        .long("overlay")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Overlay of the site")
}

/// Adds the arguments that every change of the configuration has.
fn change_args(command: Command) -> Command {
    command
        .arg(Arg::new("change_id").long("change-id").value_name("ID").help(
            "Identifies the change when it is sent again; random by \
                 default",
        ))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until it is in force at every live instance"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECS")
                .default_value("30")
                .value_parser(value_parser!(u64).range(1..=3600))
                .help("How long to wait with --wait"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check a site configuration or instance settings")
        .arg(
            Arg::new("base")
                .value_name("BASE")
                .value_parser(value_parser!(PathBuf))
                .help("Base file of the site configuration"),
        )
        .arg(overlay().requires("base"))
        .arg(
            Arg::new("instance")
                .long("instance")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings of an instance"),
        )
        .group(
            ArgGroup::new("documents")
                .args(["base", "instance"])
                .required(true)
                .multiple(true),
        )
        .after_help(
            "Examples:\n  primrosemast check base.jsonc --overlay \
             site.jsonc\n  primrosemast check --instance instance.jsonc",
        )
}

fn diff() -> Command {
    site_args(Command::new("diff"))
        .about("Show what a site configuration changes")
        .arg(
            Arg::new("against_overlay")
                .long("against-overlay")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Compare with the same base and this overlay"),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Compare with this whole document"),
        )
        .arg(
            Arg::new("running")
                .long("running")
                .action(ArgAction::SetTrue)
                .help("Compare with the running configuration"),
        )
        .group(
            ArgGroup::new("other")
                .args(["against_overlay", "against", "running"])
                .required(true),
        )
        .after_help(
            "Example:\n  primrosemast diff base.jsonc --overlay \
             site.jsonc --running",
        )
}

fn apply() -> Command {
    change_args(site_args(Command::new("apply")))
        .about("Put a site configuration into force")
        .arg(
            Arg::new("expected_version")
                .long("expected-version")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help(
                    "Version that the change was made from; the running one \
                     by default",
                ),
        )
        .after_help(format!(
            "Examples:\n  primrosemast apply base.jsonc --overlay site.jsonc \
             --wait\n  primrosemast apply base.jsonc --change-id ID \
             --expected-version 41\n\n{EXIT_CODES}"
        ))
}

fn zone() -> Command {
    let name = || Arg::new("name").value_name("NAME").required(true);
    let out = Command::new("out").about("Give the zone no new work");
    let in_ = Command::new("in").about("Give the zone work again");
    Command::new("zone")
        .about("Take an availability zone out or bring it back")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(change_args(out.arg(name())))
        .subcommand(change_args(in_.arg(name())))
        .after_help("Example:\n  primrosemast zone out zone-c --wait")
}

fn shares() -> Command {
    change_args(Command::new("shares"))
        .about("Set the shares of a route; zones not named keep theirs")
        .arg(Arg::new("route").value_name("ROUTE").required(true))
        .arg(
            Arg::new("shares")
                .value_name("ZONE=PERCENT")
                .required(true)
                .num_args(1..)
                .value_parser(parse_share),
        )
        .after_help(
            "Example:\n  primrosemast shares invoices zone-a=35 zone-b=15",
        )
}

fn parse_share(text: &str) -> Result<(String, u32), String> {
    let (zone, percent) =
        text.split_once('=').ok_or("expected ZONE=PERCENT")?;
    let percent = percent.trim_end_matches('%').parse();
    Ok((zone.into(), percent.map_err(|_| "expected a whole percentage")?))
}

fn query() -> Command {
    let option = |id: &'static str, long: &'static str, name: &'static str| {
        Arg::new(id).long(long).value_name(name)
    };
    Command::new("query")
        .about("Send a query as a caller does")
        .arg(Arg::new("route").value_name("ROUTE").required(true))
        .arg(
            option("caller", "caller", "ADDR")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Caller address of an instance"),
        )
        .arg(
            option("id", "request-id", "ID")
                .help("Request id; required where requests must not repeat"),
        )
        .arg(option("key", "key", "KEY").help("Chooses the shard"))
        .arg(
            option("deadline", "deadline-ms", "MS")
                .value_parser(value_parser!(u32).range(1..))
                .help("Deadline; the route's by default"),
        )
        .arg(
            option("body", "body", "JSON")
                .default_value("{}")
                .help("Body for the searchers"),
        )
        .after_help(
            "Example:\n  primrosemast query crew-roster --caller \
             127.0.0.1:7400 --body '{\"q\":\"ridge\"}'",
        )
}

fn rollout() -> Command {
    let service = || {
        Arg::new("service")
            .value_name("SERVICE")
            .required(true)
            .help("Service of the forwarding table")
    };
    let start = Command::new("start")
        .about("Move the traffic of a service to another version")
        .arg(service())
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .required(true)
                .help("Version of the targets that are to get the traffic"),
        )
        .arg(
            Arg::new("within")
                .long("within")
                .value_name("SECONDS")
                .required(true)
                .value_parser(parse_seconds)
                .help("Time within which the roll-out has to end"),
        );
    Command::new("rollout")
        .about("Move a service to another version of its targets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(start)
        .subcommand(
            Command::new("status")
                .about("Show the last roll-out of a service")
                .arg(service()),
        )
        .subcommand(
            Command::new("abort")
                .about("Take the running roll-out of a service back")
                .arg(service()),
        )
        .after_help(
            "Example:\n  primrosemast rollout start crew-finder v2 --within \
             60 --operator 127.0.0.1:7401",
        )
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text
        .parse()
        .map_err(|_| format!("found \"{text}\", expected a number"))?;
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|d| !d.is_zero())
        .ok_or_else(|| format!("found {text}, expected more than 0"))
}

fn replica() -> Command {
    let bootstrap = Command::new("bootstrap")
        .about("Found a control group on the instance at the one --operator")
        .arg(
            Arg::new("base")
                .value_name("BASE")
                .value_parser(value_parser!(PathBuf))
                .help("Base file of the first site configuration"),
        )
        .arg(overlay().requires("base"));
    let remove = Command::new("remove")
        .about("Remove a control replica from the group")
        .arg(
            Arg::new("replica")
                .value_name("REPLICA")
                .required(true)
                .help("Identifier of 16 hex digits, as in the list"),
        );
    Command::new("replica")
        .about("List and change the control replicas")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("List the control replicas"))
        .subcommand(bootstrap)
        .subcommand(remove)
        .after_help(
            "Example:\n  primrosemast replica bootstrap base.jsonc \
             --operator 127.0.0.1:7401",
        )
}
