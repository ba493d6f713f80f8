//! The cases of the review as programs: `review-case N FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. Trials are further findings, which are
//! not among the three cases.

mod case_1;
mod case_2;
mod case_3;
mod cell;
mod http;
mod json;
mod record;
mod runner;
mod trial_dropped_route;
mod trial_pending;
mod trial_retries;
mod trial_stale_zone_order;
mod trial_upkeep;
mod watchdog;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-case N FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    watchdog::start();
    record.line(&format!("case {case} trouble={trouble}"));
    let verdict = match case.as_str() {
        "1" => case_1::play(&record, trouble),
        "2" => case_2::play(&record, trouble),
        "3" => case_3::play(&record, trouble),
        "trial-stale-zone-order" => trial_stale_zone_order::play(&record, trouble),
        "trial-upkeep" => trial_upkeep::play(&record, trouble),
        "trial-dropped-route" => trial_dropped_route::play(&record, trouble),
        "trial-pending" => trial_pending::play(&record, trouble),
        "trial-retries" => trial_retries::play(&record, trouble),
        _ => Err("no such case".into()),
    };
    match verdict {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
                println!("BROKEN {line}");
            }
            ExitCode::FAILURE
        }
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            eprintln!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
