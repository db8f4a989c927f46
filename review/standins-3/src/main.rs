//! The scripts of the third review. Run from the root of the repository:
//! `gooseberry_review_3 NAME FOLDER`; the folder gets `record.txt`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod fleet;
mod kept_channels;
mod lost_daemons;
mod restarts;
mod settings_file;
mod site;
mod stray_answers;
mod streams;
mod uploads;

use std::path::PathBuf;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder] = words.as_slice() else {
        eprintln!("usage: gooseberry_review_3 NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = PathBuf::from(folder).join("record.txt");
    let mut text = format!("case {name}, trouble {trouble}\n");
    let run = match name.as_str() {
        "sessions" => lost_daemons::sessions(trouble, &mut text).await,
        "prompts" => lost_daemons::prompts(trouble, &mut text).await,
        "larger-heads" => kept_channels::larger_heads(trouble, &mut text).await,
        "store-moves" => settings_file::store_moves(trouble, &mut text).await,
        "bookings" => stray_answers::bookings(trouble, &mut text).await,
        "in-turn" => restarts::in_turn(trouble, &mut text).await,
        "uploads" => uploads::memory(trouble, &mut text).await,
        _ => Err("no such case".into()),
    };
    let code = match run {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(why) => {
            text.push_str(&format!("could not run: {why}\n"));
            2
        }
    };
    text.push_str(&format!("exit {code}\n"));
    print!("{text}");
    if std::fs::write(&record, &text).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
