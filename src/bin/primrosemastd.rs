//! The daemon.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, Command, value_parser};
use primrosemast::{daemon, log_output, settings};

/// Exit code for incorrect usage or settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let matches = Command::new("primrosemastd")
        .about("Serves queries over many search shards")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Instance settings, in JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .after_help(
            "Exit codes:\n  0  stopped after a graceful shutdown\n  \
             1  failed\n  2  bad usage or settings",
        )
        .get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("required");
    let settings = match settings::load_instance(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    log_output::init(
        &settings.log,
        log_output::Format::Text,
        std::io::stderr(),
    );
    match daemon::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("primrosemastd: {e:#}");
            ExitCode::FAILURE
        }
    }
}
