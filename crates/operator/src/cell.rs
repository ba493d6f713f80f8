//! Commands for job cells: jobs, change sets and maintenance waves.

use crate::client::Client;
use crate::command::{Output, output, read_text};
use crate::error::{Error, Result};
use crate::render;
use serde_json::{Value, json};
use yuccalink_state::jobs::settings::QueueView;
use yuccalink_transport::http::Method;

/// A command for a job cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellCommand {
    /// Submit a job.
    JobSubmit {
        /// Host and path of its queue, such as `duty.example/returns/`.
        queue: Box<str>,
        /// Job number of 16 hexadecimal digits. Submitting the same number again adds no job.
        id: Box<str>,
        /// File with the job; `-` is standard input.
        file: Box<str>,
    },
    /// Print the state of a job.
    JobGet {
        /// Host and path of the job's queue.
        queue: Box<str>,
        /// Job number.
        id: Box<str>,
    },
    /// Cancel a job.
    JobCancel {
        /// Host and path of the job's queue.
        queue: Box<str>,
        /// Job number.
        id: Box<str>,
    },
    /// Print how many jobs of a queue have not started.
    JobPending {
        /// Host and path of the queue.
        queue: Box<str>,
    },
    /// Put a change set in force.
    ChangeApply {
        /// File with the change set; `-` is standard input.
        file: Box<str>,
    },
    /// Print the change set in force.
    ChangeGet,
    /// List the queues.
    Queues,
    /// Take machines down for maintenance.
    WaveStart {
        /// Wave number.
        id: u64,
        /// File with the wave; `-` is standard input.
        file: Box<str>,
    },
    /// Print the state of a wave.
    WaveGet {
        /// Wave number.
        id: u64,
    },
}

/// Runs a command.
///
/// # Errors
/// [`Error::Unreachable`] if no process answers, [`Error::Failed`] if the cell refuses the
/// request.
pub async fn run(client: &Client, command: CellCommand) -> Result<Output> {
    match command {
        CellCommand::JobSubmit { queue, id, file } => {
            let body = read_text(&file)?.into_bytes();
            send_job_request(client, Method::POST, &queue, &id, body, "accepted").await
        }
        CellCommand::JobGet { queue, id } => {
            send_job_request(client, Method::GET, &queue, &id, Vec::new(), "").await
        }
        CellCommand::JobCancel { queue, id } => {
            send_job_request(client, Method::DELETE, &queue, &id, Vec::new(), "cancelled").await
        }
        CellCommand::JobPending { queue } => {
            send_job_request(client, Method::GET, &queue, "", Vec::new(), "").await
        }
        CellCommand::ChangeApply { file } => {
            let body = read_text(&file)?.into_bytes();
            send_request(client, Method::PUT, "/v1/change", body, "in force").await
        }
        CellCommand::ChangeGet => {
            send_request(client, Method::GET, "/v1/change", Vec::new(), "").await
        }
        CellCommand::Queues => queues(client).await,
        CellCommand::WaveStart { id, file } => {
            let body = read_text(&file)?.into_bytes();
            send_request(client, Method::PUT, &format!("/v1/waves/{id}"), body, "ordered").await
        }
        CellCommand::WaveGet { id } => {
            send_request(client, Method::GET, &format!("/v1/waves/{id}"), Vec::new(), "").await
        }
    }
}

/// Status of a process of a job cell; `None` if the server is a daemon outside a cell.
///
/// # Errors
/// [`Error::Unreachable`] if no process answers.
pub(crate) async fn status(client: &Client) -> Result<Option<Output>> {
    let (_, body) = client.cell(Method::GET, None, "/v1/status", Vec::new()).await?;
    let status: Value =
        serde_json::from_slice(&body).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
    if status.get("cell").is_none() {
        return Ok(None);
    }
    let text = render_status(&status);
    Ok(Some(Output { text, json: status }))
}

fn render_status(status: &Value) -> String {
    let text = |name: &str| status.get(name).and_then(Value::as_str);
    let field = |name: &str| text(name).unwrap_or("unknown");
    let is_leader = status.get("leads").and_then(Value::as_bool).unwrap_or(false);
    let leader = if is_leader { "leads" } else { field("leader") };
    let list = |name: &str, if_empty: &str| {
        let values = status.get(name).and_then(Value::as_array).into_iter().flatten();
        let values: Vec<&str> = values.filter_map(Value::as_str).collect();
        if values.is_empty() { if_empty.to_owned() } else { values.join(" ") }
    };
    let row = vec![
        field("cell").to_owned(),
        field("zone").to_owned(),
        leader.to_owned(),
        status.get("term").map_or_else(String::new, Value::to_string),
        text("store").unwrap_or("none").to_owned(),
        list("evacuated", "none"),
        blocked_runners(status),
        list("changed", "as shipped"),
    ];
    let titles = ["CELL", "ZONE", "LEADER", "TERM", "STORE", "EVACUATED", "BLOCKED", "POLICY"];
    render::table(&titles, &[row])
}

/// Names of the runners that are ready and get no tasks.
fn blocked_runners(status: &Value) -> String {
    let blocked = status.get("blocked-runners").and_then(Value::as_array).into_iter().flatten();
    let names: Vec<&str> = blocked.filter_map(|entry| entry["runner"].as_str()).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(" ") }
}

async fn queues(client: &Client) -> Result<Output> {
    let (status, body) = client.cell(Method::GET, None, "/v1/queues", Vec::new()).await?;
    if status != 200 {
        return parse_response((status, body), "");
    }
    let queues: Vec<QueueView> =
        serde_json::from_slice(&body).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
    output(&queues, render::queues(&queues))
}

async fn send_job_request(
    client: &Client,
    method: Method,
    queue: &str,
    id: &str,
    body: Vec<u8>,
    success_text: &str,
) -> Result<Output> {
    let Some((host, path)) = queue.split_once('/') else {
        let what = format!("`{queue}` is not a queue; write HOST/PATH/");
        return Err(Error::Usage(what.into()));
    };
    let slash = if path.is_empty() || path.ends_with('/') { "" } else { "/" };
    let path = format!("/{path}{slash}{id}");
    parse_response(client.cell(method, Some(host), &path, body).await?, success_text)
}

async fn send_request(
    client: &Client,
    method: Method,
    path: &str,
    body: Vec<u8>,
    success_text: &str,
) -> Result<Output> {
    parse_response(client.cell(method, None, path, body).await?, success_text)
}

fn parse_response((status, body): (u16, Vec<u8>), success_text: &str) -> Result<Output> {
    let text = String::from_utf8_lossy(&body).into_owned();
    match status {
        200 if body.is_empty() => Ok(Output {
            text: format!("{success_text}\n"),
            json: json!({ "result": success_text }),
        }),
        200 => {
            let json: Value = serde_json::from_slice(&body)
                .map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
            Ok(Output { text: format!("{text}\n"), json })
        }
        404 => Err(Error::Failed("there is no such queue; check host and path".into())),
        410 => Err(Error::Failed("there is no such job; check its number".into())),
        429 => Err(Error::Failed(
            "the cell is overloaded and did not accept the job; try again later".into(),
        )),
        _ => Err(Error::Failed(format!("the cell returned status {status}: {text}").into())),
    }
}
