//! What the program `yuccalink` does: each command takes a client and returns
//! its output, as a value for `--json` and as text for people.

use crate::cell::{self, CellCommand};
use crate::client::Client;
use crate::error::{Error, Result};
use crate::losses;
use crate::render;
use crate::snapshot_file;
use crate::why;
use serde_json::{Value, json};
use similar::TextDiff;
use std::fs;
use std::io::{self, Read as _, Write as _};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use yuccalink_protocol::api::{SubmitTasks, TaskView};
use yuccalink_protocol::document;
use yuccalink_state::Document;
use yuccalink_state::id::{Name, TaskId};

/// How often a waiting command looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check documents without sending them.
    Check {
        /// Files; `-` is standard input.
        files: Vec<Box<str>>,
    },
    /// Put a document in force.
    Apply {
        /// A file; `-` is standard input.
        file: Box<str>,
        /// Return as soon as it is accepted.
        no_wait: bool,
    },
    /// Print the document in force.
    Get {
        /// The service.
        service: Box<str>,
    },
    /// List the documents in force.
    List,
    /// Compare a file with what is in force.
    Diff {
        /// A file; `-` is standard input.
        file: Box<str>,
    },
    /// Add tasks.
    Submit {
        /// What to add.
        tasks: SubmitTasks,
        /// Same key, same answer; drawn when absent.
        key: Option<Box<str>>,
        /// Wait until all have ended.
        wait: bool,
    },
    /// Cancel tasks.
    Cancel {
        /// Their numbers.
        tasks: Vec<TaskId>,
    },
    /// List tasks.
    Tasks {
        /// A filter, as the daemon takes it.
        query: Box<str>,
    },
    /// Show one task.
    Task {
        /// Its number.
        task: TaskId,
        /// Wait until it has ended.
        wait: bool,
    },
    /// Put a job's decisions in order, from logs.
    Why {
        /// The job's 16 digits.
        id: Box<str>,
        /// Log files; `-` is standard input.
        files: Vec<Box<str>>,
    },
    /// Add up what a cell's jobs lost, by cause, from logs.
    Losses {
        /// Log files; `-` is standard input.
        files: Vec<Box<str>>,
        /// Where to draw it.
        plot: Option<Box<str>>,
    },
    /// Show the state of the system.
    Status,
    /// List targets.
    Targets,
    /// List the last decisions.
    Decisions,
    /// Ask a job cell.
    Cell(CellCommand),
    /// Save the state of the system.
    SnapshotSave {
        /// Where to.
        file: Box<str>,
    },
    /// Check a saved state.
    SnapshotVerify {
        /// The file.
        file: Box<str>,
    },
    /// Make a data folder from a saved state, to found the system anew.
    SnapshotRestore {
        /// The file.
        file: Box<str>,
        /// The new data folder.
        data: Box<str>,
        /// The daemon that will use it.
        name: Name,
        /// Where other daemons reach it.
        address: SocketAddr,
    },
}

/// A command's output in both forms.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
}

fn output<T>(value: &T, text: String) -> Result<Output>
where
    T: serde::Serialize,
{
    let json =
        serde_json::to_value(value).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
    Ok(Output { text, json })
}

/// Carries out a command. Its calls must run on a `LocalSet`.
///
/// # Errors
/// [`Error`], whose exit code is the program's.
pub async fn run(client: &Client, command: Command) -> Result<Output> {
    match command {
        Command::Check { files } => check(&files),
        Command::Apply { file, no_wait } => apply(client, &file, no_wait).await,
        Command::Get { service } => {
            let found = client.service(&service).await?;
            let text = found.text.as_deref().unwrap_or_default().to_string();
            output(&found, text)
        }
        Command::List => {
            let all = client.services().await?;
            output(&all, render::services(&all))
        }
        Command::Diff { file } => diff(client, &file).await,
        Command::Submit { tasks, key, wait } => submit(client, &tasks, key, wait).await,
        Command::Cancel { tasks } => {
            let all = client.cancel(tasks).await?;
            output(&all, render::cancelled(&all))
        }
        Command::Tasks { query } => {
            let all = client.tasks(&query).await?;
            output(&all, render::tasks(&all))
        }
        Command::Task { task, wait } => {
            let view = if wait {
                wait_until_ended(client, task).await?
            } else {
                client.task(task).await?
            };
            output(&view, render::tasks(std::slice::from_ref(&view)))
        }
        Command::Status => match cell::status(client).await? {
            Some(output) => Ok(output),
            None => {
                let status = client.status().await?;
                output(&status, render::status(&status))
            }
        },
        Command::Targets => {
            let all = client.targets().await?;
            output(&all, render::targets(&all))
        }
        Command::SnapshotSave { file } => snapshot_file::save(client, &file).await,
        Command::SnapshotVerify { file } => snapshot_file::verify(&file),
        Command::SnapshotRestore { file, data, name, address } => {
            snapshot_file::restore(&file, &data, &name, address)
        }
        Command::Why { id, files } => why::explain(&id, &files),
        Command::Losses { files, plot } => losses::run(&files, plot.as_deref()),
        Command::Cell(command) => cell::run(client, command).await,
        Command::Decisions => {
            let all = client.decisions().await?;
            output(&all, render::decisions(&all))
        }
    }
}

fn check(files: &[Box<str>]) -> Result<Output> {
    let mut text = String::new();
    let mut valid = Vec::new();
    for file in files {
        let (_, document) = read_document(file)?;
        text.push_str(&format!(
            "{file}: {} version {} is good\n",
            document.service, document.version
        ));
        valid.push(
            json!({ "file": file, "service": document.service, "version": document.version }),
        );
    }
    Ok(Output { text, json: valid.into() })
}

async fn apply(client: &Client, file: &str, no_wait: bool) -> Result<Output> {
    let (text, document) = read_document(file)?;
    if !no_wait {
        print_progress(&format!("applying {} version {} ...", document.service, document.version));
    }
    let applied = client.apply(document.service.as_str(), &text, !no_wait).await?;
    if !no_wait && !applied.in_force_everywhere {
        let names: Vec<String> = applied.waiting_for.iter().map(ToString::to_string).collect();
        let waiting = if names.is_empty() { "unknown entries".into() } else { names.join(", ") };
        return Err(Error::NotInForce {
            service: document.service.as_str().into(),
            version: document.version,
            waiting: waiting.into(),
        });
    }
    output(&applied, render::applied(&applied))
}

async fn diff(client: &Client, file: &str) -> Result<Output> {
    let (text, document) = read_document(file)?;
    let found = client.service(document.service.as_str()).await?;
    let current = found.text.unwrap_or_default();
    if *current == *text {
        return Ok(Output { text: String::new(), json: json!({ "different": false }) });
    }
    let diff = TextDiff::from_lines(&*current, &*text);
    let shown = diff.unified_diff().header("in force", file).to_string();
    print(&shown)?;
    Err(Error::DocumentsDiffer)
}

async fn submit(
    client: &Client,
    tasks: &SubmitTasks,
    key: Option<Box<str>>,
    wait: bool,
) -> Result<Output> {
    let key = key.unwrap_or_else(unique_key);
    let done = client.submit(tasks, &key).await?;
    if !wait {
        return output(&done, render::submitted(&done));
    }
    let mut views = Vec::new();
    for at in 0..u64::from(done.count) {
        print_progress(&format!("waiting for task {} of {} ...", at + 1, done.count));
        views.push(wait_until_ended(client, TaskId(done.first.0 + at)).await?);
    }
    output(&views, render::tasks(&views))
}

async fn wait_until_ended(client: &Client, task: TaskId) -> Result<TaskView> {
    loop {
        let view = client.task(task).await?;
        if matches!(&*view.phase, "finished" | "failed" | "cancelled") {
            return Ok(view);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A key that no other submission has: a resend within this command is safe.
fn unique_key() -> Box<str> {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = since.map_or(0, |since| since.as_nanos());
    format!("command-{nanos:x}-{:x}", std::process::id()).into()
}

fn read_document(file: &str) -> Result<(String, Document)> {
    let text = read_text(file)?;
    let document =
        document::read(&text).map_err(|faults| Error::Document { path: file.into(), faults })?;
    Ok((text, document))
}

/// A file, or standard input for `-`.
pub(crate) fn read_text(file: &str) -> Result<String> {
    let fail = |source| Error::Read { path: file.into(), source };
    match file {
        "-" => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text).map_err(fail)?;
            Ok(text)
        }
        path => fs::read_to_string(Path::new(path)).map_err(fail),
    }
}

/// Says on standard error what a command waits for.
fn print_progress(what: &str) {
    let _ = writeln!(io::stderr(), "{what}");
}

/// Prints; a reader that has seen enough is no error.
///
/// # Errors
/// [`Error::Output`] when standard output fails otherwise.
pub fn print(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Error::Output(error)),
        _ => Ok(()),
    }
}
