//! Plays one case of the review: `review-case CASE FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves
//! out the disruption.

mod adapter_memory;
mod clients;
mod edge;
mod engine;
mod http;
mod lost_models;
mod ports;
mod record;
mod slow_loads;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Broken,
    Held,
    CannotRun(String),
}

/// The surroundings of a case.
pub struct Setting {
    pub record: Record,
    /// A temporary folder, removed at the end.
    pub temp: PathBuf,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
    if std::fs::create_dir_all(&temp).is_err() {
        return ExitCode::from(2);
    }
    let setting = Setting {
        record: Record::create(&Path::new(&folder).join("record.txt")),
        temp: temp.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |it| it != "0"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let verdict = runtime.expect("a runtime").block_on(async {
        let mut terminate = signal(SignalKind::terminate()).expect("a signal handler");
        let mut interrupt = signal(SignalKind::interrupt()).expect("a signal handler");
        // What is dropped ends the processes that it has started.
        tokio::select! {
            verdict = play(&case, &setting) => verdict,
            _ = terminate.recv() => Verdict::CannotRun("stopped".to_owned()),
            _ = interrupt.recv() => Verdict::CannotRun("stopped".to_owned()),
        }
    });
    if let Some(keep) = std::env::var_os("KEEP_LOGS") {
        for entry in std::fs::read_dir(&temp).into_iter().flatten().flatten() {
            let _copied = std::fs::copy(entry.path(), Path::new(&keep).join(entry.file_name()));
        }
    }
    let _removed = std::fs::remove_dir_all(&temp);
    match verdict {
        Verdict::Broken => {
            setting.record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::Held => {
            setting.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::CannotRun(reason) => {
            setting
                .record
                .say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}

async fn play(case: &str, setting: &Setting) -> Verdict {
    match case {
        "adapter-memory" => adapter_memory::play(setting).await,
        "lost-models" => lost_models::play(setting).await,
        "slow-loads" => slow_loads::play(setting).await,
        _ => Verdict::CannotRun(format!("no case {case}")),
    }
}
