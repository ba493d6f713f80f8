//! Parser and help of the command line.

use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use std::time::Duration;
use yuccalink_operator::cell::CellCommand;
use yuccalink_operator::command::Command;
use yuccalink_operator::completions::{COMMANDS, Shell};
use yuccalink_operator::zone::ZoneCommand;
use yuccalink_operator::{Error, Result};
use yuccalink_protocol::api::SubmitTasks;
use yuccalink_protocol::units;
use yuccalink_state::evacuation::check_zone;
use yuccalink_state::id::{BadTaskId, Name, TaskId};
use yuccalink_state::jobs::JobId;

/// What the command line requests.
#[derive(Debug)]
pub(crate) enum Invocation {
    Help { long: bool },
    Version,
    Completions(Shell),
    Run(Settings, Command),
}

/// Settings common to all commands.
#[derive(Debug)]
pub(crate) struct Settings {
    pub(crate) servers: Vec<SocketAddr>,
    pub(crate) author: Box<str>,
    pub(crate) timeout: Duration,
    pub(crate) json: bool,
}

/// Words and flags as given on the command line.
#[derive(Default)]
struct Arguments {
    words: Vec<Box<str>>,
    server: Option<Box<str>>,
    author: Option<Box<str>>,
    timeout: Option<Box<str>>,
    json: bool,
    no_wait: bool,
    wait: bool,
    urgent: bool,
    empty: bool,
    count: Option<u32>,
    payload: Option<Box<str>>,
    key: Option<Box<str>>,
    service: Option<Box<str>>,
    phase: Option<Box<str>>,
    after: Option<u64>,
    limit: Option<u32>,
    data: Option<Box<str>>,
    name: Option<Box<str>>,
    address: Option<Box<str>>,
    queue: Option<Box<str>>,
    id: Option<Box<str>>,
    plot: Option<Box<str>>,
}

fn usage(what: impl Into<Box<str>>) -> Error {
    Error::Usage(what.into())
}

/// Parses the command line. Environment variables give the defaults of some flags.
pub(crate) fn parse<E>(parser: Parser, environment: E) -> Result<Invocation>
where
    E: Fn(&str) -> Option<String>,
{
    let mut given = Arguments::default();
    if let Some(invocation) = parse_flags(parser, &mut given)? {
        return Ok(invocation);
    }
    let words: Vec<&str> = given.words.iter().map(|word| &**word).collect();
    let command = match words.as_slice() {
        [] | ["help"] => return Ok(Invocation::Help { long: !words.is_empty() }),
        ["completions", shell] => {
            let shell = Shell::parse(shell).ok_or_else(|| usage("write bash, zsh or fish"))?;
            return Ok(Invocation::Completions(shell));
        }
        ["check", files @ ..] if !files.is_empty() => {
            Command::Check { files: files.iter().map(|file| (*file).into()).collect() }
        }
        ["apply", file] => Command::Apply { file: (*file).into(), no_wait: given.no_wait },
        ["get", service] => Command::Get { service: parse_name(service)?.as_str().into() },
        ["list"] => Command::List,
        ["diff", file] => Command::Diff { file: (*file).into() },
        ["task", rest @ ..] => task_command(rest, &given)?,
        ["job", rest @ ..] => Command::Cell(job_command(rest, &given)?),
        ["change", "apply", file] => {
            Command::Cell(CellCommand::ChangeApply { file: (*file).into() })
        }
        ["change", "get"] => Command::Cell(CellCommand::ChangeGet),
        ["queues"] => Command::Cell(CellCommand::Queues),
        ["wave", "start", id, file] => Command::Cell(CellCommand::WaveStart {
            id: parse_wave_number(id)?,
            file: (*file).into(),
        }),
        ["wave", "get", id] => Command::Cell(CellCommand::WaveGet { id: parse_wave_number(id)? }),
        ["zone", "evacuate", zone] => {
            Command::Zone(ZoneCommand::Evacuate { zone: parse_zone(zone)?, empty: given.empty })
        }
        ["zone", "restore", zone] => {
            Command::Zone(ZoneCommand::Restore { zone: parse_zone(zone)? })
        }
        ["zone", "list"] => Command::Zone(ZoneCommand::List),
        ["why", job, files @ ..] if !files.is_empty() => Command::Why {
            id: parse_job_id(job)?,
            files: files.iter().map(|file| (*file).into()).collect(),
        },
        ["losses", files @ ..] if !files.is_empty() => Command::Losses {
            files: files.iter().map(|file| (*file).into()).collect(),
            plot: given.plot.clone(),
        },
        ["snapshot", rest @ ..] => snapshot_command(rest, &given)?,
        ["status"] => Command::Status,
        ["targets"] => Command::Targets,
        ["decisions"] => Command::Decisions,
        [first, ..] if COMMANDS.iter().any(|(name, _)| name == first) => {
            return Err(usage(format!("`{first}` has too many or too few words after it")));
        }
        [first, ..] => return Err(usage(format!("there is no command `{first}`"))),
    };
    Ok(Invocation::Run(settings(&given, environment)?, command))
}

fn snapshot_command(words: &[&str], given: &Arguments) -> Result<Command> {
    let need = |value: &Option<Box<str>>, flag: &str| {
        value.clone().ok_or_else(|| usage(format!("snapshot restore needs {flag}")))
    };
    match words {
        ["save", file] => Ok(Command::SnapshotSave { file: (*file).into() }),
        ["verify", file] => Ok(Command::SnapshotVerify { file: (*file).into() }),
        ["restore", file] => {
            let address = need(&given.address, "--address IP:PORT")?;
            let wrong = |_| usage(format!("--address: `{address}` is no IP:PORT"));
            Ok(Command::SnapshotRestore {
                file: (*file).into(),
                data: need(&given.data, "--data FOLDER")?,
                name: parse_name(&need(&given.name, "--name NAME")?)?,
                address: address.parse().map_err(wrong)?,
            })
        }
        _ => Err(usage("write snapshot save FILE, snapshot verify FILE or snapshot restore FILE")),
    }
}

fn task_command(words: &[&str], given: &Arguments) -> Result<Command> {
    match words {
        ["submit", service, kind] => Ok(Command::Submit {
            tasks: SubmitTasks {
                service: parse_name(service)?,
                kind: parse_name(kind)?,
                count: given.count.unwrap_or(1),
                urgent: given.urgent,
                payload: given.payload.clone().unwrap_or_default(),
            },
            key: given.key.clone(),
            wait: given.wait,
        }),
        ["cancel", tasks @ ..] if !tasks.is_empty() => {
            Ok(Command::Cancel { tasks: parse_task_ids(tasks)? })
        }
        ["list"] => Ok(Command::Tasks { query: task_query(given)? }),
        ["show", task] => Ok(Command::Task { task: parse_task_id(task)?, wait: given.wait }),
        _ => Err(usage(
            "write task submit SERVICE KIND, task cancel TASK..., task list or task show TASK",
        )),
    }
}

fn job_command(words: &[&str], given: &Arguments) -> Result<CellCommand> {
    let queue = given.queue.clone().ok_or_else(|| usage("a job needs --queue HOST/PATH/"))?;
    match words {
        ["submit", file] => {
            let given = given.id.as_deref().ok_or_else(|| usage("job submit needs --id"))?;
            Ok(CellCommand::JobSubmit { queue, id: parse_job_id(given)?, file: (*file).into() })
        }
        ["get", job] => Ok(CellCommand::JobGet { queue, id: parse_job_id(job)? }),
        ["cancel", job] => Ok(CellCommand::JobCancel { queue, id: parse_job_id(job)? }),
        ["pending"] => Ok(CellCommand::JobPending { queue }),
        _ => Err(usage("write job submit FILE, job get JOB, job cancel JOB or job pending")),
    }
}

fn parse_job_id(word: &str) -> Result<Box<str>> {
    let wrong = || usage(format!("`{word}` is not a job number: write 16 of 0-9 and a-f"));
    JobId::parse(word).map(|id| id.to_string().into()).ok_or_else(wrong)
}

fn parse_zone(text: &str) -> Result<Box<str>> {
    check_zone(text).map(|()| text.into()).map_err(|bad| usage(bad.to_string()))
}

fn parse_wave_number(text: &str) -> Result<u64> {
    text.parse().map_err(|_| usage(format!("`{text}` is not a wave number")))
}

fn task_query(given: &Arguments) -> Result<Box<str>> {
    let mut parts = Vec::new();
    if let Some(service) = &given.service {
        parts.push(format!("service={}", parse_name(service)?));
    }
    if let Some(phase) = &given.phase {
        parts.push(format!("phase={}", parse_name(phase)?));
    }
    if let Some(after) = given.after {
        parts.push(format!("after={after}"));
    }
    if let Some(limit) = given.limit {
        parts.push(format!("limit={limit}"));
    }
    Ok(parts.join("&").into())
}

fn parse_name(text: &str) -> Result<Name> {
    Name::new(text).map_err(|bad| usage(bad.to_string()))
}

fn parse_task_id(text: &str) -> Result<TaskId> {
    text.parse().map_err(|bad: BadTaskId| usage(bad.to_string()))
}

/// Parses single tasks and ranges such as `t3-t9`.
fn parse_task_ids(words: &[&str]) -> Result<Vec<TaskId>> {
    let mut all = Vec::new();
    for word in words {
        match word.split_once('-') {
            Some((first, last)) => {
                all.extend((parse_task_id(first)?.0..=parse_task_id(last)?.0).map(TaskId))
            }
            None => all.push(parse_task_id(word)?),
        }
    }
    Ok(all)
}

fn parse_flags(mut parser: Parser, given: &mut Arguments) -> Result<Option<Invocation>> {
    let bad = |error: lexopt::Error| usage(error.to_string());
    while let Some(arg) = parser.next().map_err(bad)? {
        match arg {
            Arg::Short('h') => return Ok(Some(Invocation::Help { long: false })),
            Arg::Long("help") => return Ok(Some(Invocation::Help { long: true })),
            Arg::Short('V') | Arg::Long("version") => return Ok(Some(Invocation::Version)),
            Arg::Value(word) => given.words.push(word.string().map_err(bad)?.into()),
            Arg::Long("json") => given.json = true,
            Arg::Long("no-wait") => given.no_wait = true,
            Arg::Long("wait") => given.wait = true,
            Arg::Long("empty") => given.empty = true,
            Arg::Long("urgent") => given.urgent = true,
            Arg::Short('s') | Arg::Long("server") => given.server = Some(flag_value(&mut parser)?),
            Arg::Long("author") => given.author = Some(flag_value(&mut parser)?),
            Arg::Long("timeout") => given.timeout = Some(flag_value(&mut parser)?),
            Arg::Short('n') | Arg::Long("count") => given.count = Some(flag_number(&mut parser)?),
            Arg::Long("payload") => given.payload = Some(flag_value(&mut parser)?),
            Arg::Long("key") => given.key = Some(flag_value(&mut parser)?),
            Arg::Long("service") => given.service = Some(flag_value(&mut parser)?),
            Arg::Long("phase") => given.phase = Some(flag_value(&mut parser)?),
            Arg::Long("after") => given.after = Some(flag_number(&mut parser)?),
            Arg::Long("data") => given.data = Some(flag_value(&mut parser)?),
            Arg::Long("name") => given.name = Some(flag_value(&mut parser)?),
            Arg::Long("address") => given.address = Some(flag_value(&mut parser)?),
            Arg::Long("queue") => given.queue = Some(flag_value(&mut parser)?),
            Arg::Long("plot") => given.plot = Some(flag_value(&mut parser)?),
            Arg::Long("id") => given.id = Some(flag_value(&mut parser)?),
            Arg::Long("limit") => given.limit = Some(flag_number(&mut parser)?),
            other => return Err(bad(other.unexpected())),
        }
    }
    Ok(None)
}

fn flag_value(parser: &mut Parser) -> Result<Box<str>> {
    let value = parser.value().and_then(|value| value.string());
    value.map(Into::into).map_err(|error| usage(error.to_string()))
}

fn flag_number<T>(parser: &mut Parser) -> Result<T>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let value = parser.value().and_then(|value| value.parse());
    value.map_err(|error| usage(error.to_string()))
}

fn settings<E>(given: &Arguments, environment: E) -> Result<Settings>
where
    E: Fn(&str) -> Option<String>,
{
    let or_variable = |value: &Option<Box<str>>, name: &str| {
        value.clone().or_else(|| environment(name).map(Into::into))
    };
    let server = or_variable(&given.server, "YUCCALINK_SERVER");
    let servers = server.as_deref().unwrap_or("127.0.0.1:8081").split(',').map(|part| {
        let wrong = || usage(format!("--server: `{part}` is no IP:PORT, such as 127.0.0.1:8081"));
        part.trim().parse().map_err(|_| wrong())
    });
    let author = or_variable(&given.author, "YUCCALINK_AUTHOR");
    let author = author.or_else(|| environment("USER").map(Into::into));
    let timeout = or_variable(&given.timeout, "YUCCALINK_TIMEOUT");
    let timeout = units::millis(timeout.as_deref().unwrap_or("15s"));
    Ok(Settings {
        servers: servers.collect::<Result<_>>()?,
        author: author.unwrap_or_else(|| "unnamed".into()),
        timeout: timeout
            .map(Duration::from_millis)
            .map_err(|bad| usage(format!("--timeout: {bad}")))?,
        json: given.json,
    })
}

/// Returns the short or the long help.
pub(crate) fn help(long: bool) -> String {
    let mut out = String::from(
        "yuccalink - check and apply service documents, run tasks and jobs, show the system's state\n\n\
         Usage: yuccalink [FLAG]... COMMAND\n\nCommands:\n",
    );
    for (name, about) in COMMANDS {
        out.push_str(&format!("  {name:<12} {about}\n"));
    }
    out.push_str(
        "\nFlags:\n  \
         -s, --server IP:PORT,...  daemons to ask [127.0.0.1:8081; YUCCALINK_SERVER]\n  \
         --json                    output for programs\n  \
         --author NAME             name recorded as author of documents [YUCCALINK_AUTHOR, USER]\n  \
         --timeout TIME            time limit of a request [15s; YUCCALINK_TIMEOUT]\n  \
         -h, --help                short help, long help\n  \
         -V, --version             the version\n",
    );
    if long {
        out.push_str(LONG_HELP);
    } else {
        out.push_str("\nSee `yuccalink --help` for more.\n");
    }
    out
}

const LONG_HELP: &str = "
Documents (FILE may be - for standard input):
  check FILE...             check documents and report every error with its position
  apply FILE [--no-wait]    put a document in force; waits until it is in force on all entries
  get SERVICE               print the document in force
  list                      list the documents in force
  diff FILE                 show what applying the file would change

Tasks (TASK is a number such as t7; cancel also takes ranges such as t7-t12):
  task submit SERVICE KIND [-n N] [--urgent] [--payload TEXT] [--key KEY] [--wait]
  task cancel TASK...
  task list [--service NAME] [--phase PHASE] [--after N] [--limit N]
  task show TASK [--wait]
  A submission sent again with the same --key gets the same answer and adds nothing.

Job cells (--server: callers' ports for jobs, runners' and operators' ports for the rest):
  job submit FILE --queue HOST/PATH/ --id JOB
                            submit a job; submitting the same number again adds no job
  job get JOB --queue HOST/PATH/
  job cancel JOB --queue HOST/PATH/
  job pending --queue HOST/PATH/
  change apply FILE         put a change set of queues and pools in force as a whole
  change get                print the change set in force
  queues                    list the queues: jobs, tasks, cores in use and due, who is short and why
  wave start N FILE         take machines down for maintenance, a few at a time
  wave get N                show the state of a wave
  why JOB FILE...           print a job's lines from the processes' logs in order of time,
                            with its last state and its runs by outcome
  losses [--plot FILE.svg] FILE...
                            sum up the lost worth of jobs by cause, queue and time of
                            acceptance, from the processes' logs; --json has all windows

The system:
  status                    show the leader and the revision in force on each entry
  zone evacuate ZONE [--empty]
                            give the runners and workers of a zone no new work; what runs there
                            ends, and with --empty long-running tasks move to other zones
  zone restore ZONE         give the zone work again
  zone list                 list the zones, their targets and what has not ended there
  targets                   list runners and workers, their health and their owners
  decisions                 list the last routing and placement decisions, newest first
  snapshot save FILE        save a snapshot of the committed state
  snapshot verify FILE      check a snapshot and print a summary
  snapshot restore FILE --data FOLDER --name NAME --address IP:PORT
                            create a voter's data folder to bootstrap the system again
  completions SHELL         print completions for bash, zsh or fish

Exit codes:
  0 done            1 failed or refused        2 wrong usage
  3 the document is invalid                    4 conflict: another document is in force
  5 no daemon answers                          6 accepted, but not in force everywhere in time
  7 diff: the file differs from the document in force
  8 a snapshot or a data folder cannot be used
";
