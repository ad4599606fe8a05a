//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(primrosemast::cli::run(std::env::args_os()))
}
