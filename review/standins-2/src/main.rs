//! Runs one case of the second review: `review-2 CASE PROGRAM FOLDER`.
//!
//! `TROUBLE=0` leaves the disruption out. Ends with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run.

mod cases;
mod client;
mod daemon;
mod http;
mod record;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// What a case needs.
pub struct Case {
    /// The daemon's program.
    pub program: PathBuf,
    /// Whether there is a disruption.
    pub has_trouble: bool,
    /// What happens.
    pub record: Record,
}

/// What a case has shown.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not show anything.
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, program, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let case = Case {
        program: PathBuf::from(program).canonicalize().unwrap_or_default(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: Record::new(),
    };
    let Some(run) = cases::find(name) else {
        eprintln!("there is no case {name}");
        return ExitCode::from(2);
    };
    let result = std::panic::catch_unwind(|| run(&case));
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held", 0),
        Ok(Verdict::Broken) => ("the rule was broken", 1),
        Ok(Verdict::NotRun) => ("the case shows nothing", 2),
        Err(_) => ("the case could not run", 2),
    };
    case.record.add(text);
    case.record.write(&PathBuf::from(folder).join("record.txt"));
    println!("{text}");
    ExitCode::from(code)
}
