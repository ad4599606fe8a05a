//! The scripts of review/6 to review/10. The first argument names the case,
//! the second the folder for `record.txt`. With `TROUBLE=0` a case runs
//! without its disruption.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod http;
mod site;

mod answers;
mod list_bytes;
mod list_fields;
mod route_names;
mod traffic;

use std::{
    panic::{self, AssertUnwindSafe},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
};

use site::Record;

/// Why a case could not run.
struct CannotRun(String);

/// Ends the case; its processes are ended on the way.
pub fn cannot_run(reason: &str) -> ! {
    panic::resume_unwind(Box::new(CannotRun(reason.to_owned())))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record =
        Arc::new(Record::create(&PathBuf::from(folder).join("record.txt")));
    record.say(&format!("case {case}, trouble {trouble}"));
    let run: fn(Arc<Record>, bool) -> bool = match case.as_str() {
        "answer-503" => answers::failed_with_503,
        "answer-stamp" => answers::spoiled_stamp,
        "list-bytes" => list_bytes::unreadable_entry,
        "list-close" => list_bytes::closed_connections,
        "list-fields" => list_fields::run,
        "route-names" => route_names::run,
        _ => {
            eprintln!("there is no case {case}");
            return ExitCode::from(2);
        }
    };
    let (shared, for_case) = (record.clone(), record);
    let held =
        panic::catch_unwind(AssertUnwindSafe(move || run(for_case, trouble)));
    match held {
        Ok(true) => {
            shared.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            shared.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            let text = reason
                .downcast_ref::<CannotRun>()
                .map_or("a check of the script failed", |r| r.0.as_str());
            shared.say(&format!("the case could not run: {text}"));
            ExitCode::from(2)
        }
    }
}
