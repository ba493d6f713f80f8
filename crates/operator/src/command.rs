//! Commands of the program `yuccalink`. Each command returns its output as text for people
//! and as a JSON value for `--json`.

use crate::cell::{self, CellCommand};
use crate::client::Client;
use crate::error::{Error, Result};
use crate::losses;
use crate::render;
use crate::snapshot_file;
use crate::why;
use crate::zone::{self, ZoneCommand};
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

/// Interval at which a waiting command reads the state of a task again.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A command of the program `yuccalink`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Check documents without sending them.
    Check {
        /// Document files; `-` is standard input.
        files: Vec<Box<str>>,
    },
    /// Put a document in force.
    Apply {
        /// Document file; `-` is standard input.
        file: Box<str>,
        /// Return as soon as the document is accepted, before it is in force on all entries.
        no_wait: bool,
    },
    /// Print the document in force.
    Get {
        /// Name of the service.
        service: Box<str>,
    },
    /// List the documents in force.
    List,
    /// Compare a file with the document in force.
    Diff {
        /// Document file; `-` is standard input.
        file: Box<str>,
    },
    /// Submit tasks.
    Submit {
        /// Tasks to add.
        tasks: SubmitTasks,
        /// Idempotency key. A second submission with the same key gets the same answer and
        /// adds no tasks. Without a key, the command generates one.
        key: Option<Box<str>>,
        /// Wait until all submitted tasks have ended.
        wait: bool,
    },
    /// Cancel tasks.
    Cancel {
        /// Task numbers.
        tasks: Vec<TaskId>,
    },
    /// List tasks.
    Tasks {
        /// Query string of the daemon's task list.
        query: Box<str>,
    },
    /// Show one task.
    Task {
        /// Task number.
        task: TaskId,
        /// Wait until the task has ended.
        wait: bool,
    },
    /// Print the log lines of a job in order of time.
    Why {
        /// Job number of 16 hexadecimal digits.
        id: Box<str>,
        /// Log files; `-` is standard input.
        files: Vec<Box<str>>,
    },
    /// Sum up the lost worth of a cell's jobs by cause, from logs.
    Losses {
        /// Log files; `-` is standard input.
        files: Vec<Box<str>>,
        /// SVG file to draw the losses in.
        plot: Option<Box<str>>,
    },
    /// Show the state of the system.
    Status,
    /// List targets.
    Targets,
    /// List the last routing and placement decisions.
    Decisions,
    /// Run a command for availability zones.
    Zone(ZoneCommand),
    /// Run a command for a job cell.
    Cell(CellCommand),
    /// Save a snapshot of the state of the system.
    SnapshotSave {
        /// File to write.
        file: Box<str>,
    },
    /// Check a saved snapshot.
    SnapshotVerify {
        /// Snapshot file.
        file: Box<str>,
    },
    /// Create a data folder from a snapshot, to bootstrap the system again.
    SnapshotRestore {
        /// Snapshot file.
        file: Box<str>,
        /// Data folder to create.
        data: Box<str>,
        /// Name of the daemon that will use the data folder.
        name: Name,
        /// Address at which other daemons reach that daemon.
        address: SocketAddr,
    },
}

/// Output of a command, as text and as JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Text for people.
    pub text: String,
    /// JSON value for programs.
    pub json: Value,
}

pub(crate) fn output<T>(value: &T, text: String) -> Result<Output>
where
    T: serde::Serialize,
{
    let json =
        serde_json::to_value(value).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
    Ok(Output { text, json })
}

/// Runs a command. The returned future must run on a `LocalSet`.
///
/// # Errors
/// Any [`Error`]; its exit code is that of the program.
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
        Command::Zone(command) => zone::run(client, command).await,
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

/// Generates an idempotency key from the time and the process id, so that the client can
/// send the submission again safely.
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

/// Reads a file, or standard input for `-`.
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

/// Prints to standard error what a command waits for.
fn print_progress(what: &str) {
    let _ = writeln!(io::stderr(), "{what}");
}

/// Prints to standard output. A closed pipe, as with `head`, is not an error.
///
/// # Errors
/// [`Error::Output`] for any other failure of standard output.
pub fn print(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Error::Output(error)),
        _ => Ok(()),
    }
}
