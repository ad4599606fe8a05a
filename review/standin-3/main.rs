//! Stand-ins for the scripts of the third review: the platform's list of
//! searchers, searchers, the operator, clients, and links between machines.
//! Only the standard library is used; `review/build-3.sh` builds it.
//!
//! `review-3 CASE FOLDER` plays a case and writes `FOLDER/record.txt`. It exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod client;
mod machines;
mod searcher;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let code = match (args.get(1).map(String::as_str), args.get(2)) {
        (Some(case), Some(folder)) => cases::play(case, folder),
        _ => {
            eprintln!("usage: review-3 CASE FOLDER");
            2
        }
    };
    std::process::exit(code);
}
