//! Commands that empty an availability zone and give it work again, for daemons and job cells.

use crate::client::Client;
use crate::command::{Output, output};
use crate::error::{Error, Result};
use crate::render;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};
use yuccalink_protocol::api::ZoneChange;
use yuccalink_state::evacuation::ZoneView;
use yuccalink_transport::http::Method;

/// Characters that are encoded in a path segment.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// A command for availability zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneCommand {
    /// Give a zone no new work.
    Evacuate {
        /// The zone, as its targets report it.
        zone: Box<str>,
        /// Whether long-running tasks leave the zone as well.
        empty: bool,
    },
    /// Give a zone work again.
    Restore {
        /// The zone, as its targets report it.
        zone: Box<str>,
    },
    /// List the zones.
    List,
}

/// Runs a command.
///
/// # Errors
/// [`Error::Unreachable`] if no process answers, [`Error::Failed`] if the order is refused.
pub async fn run(client: &Client, command: ZoneCommand) -> Result<Output> {
    let zones = list(client).await?;
    match command {
        ZoneCommand::List => output(&zones, render::zones(&zones)),
        ZoneCommand::Evacuate { zone, empty } => {
            change(client, &zones, &zone, ZoneChange { evacuated: true, empty, number: None }).await
        }
        ZoneCommand::Restore { zone } => change(client, &zones, &zone, ZoneChange::default()).await,
    }
}

async fn list(client: &Client) -> Result<Vec<ZoneView>> {
    read(client.cell(Method::GET, None, "/v1/zones", Vec::new()).await?)
}

async fn change(
    client: &Client,
    zones: &[ZoneView],
    zone: &str,
    change: ZoneChange,
) -> Result<Output> {
    let known = zones.iter().find(|view| &*view.zone == zone);
    let number = next_number(known.map_or(0, |view| view.number));
    let change = ZoneChange { number: Some(number), ..change };
    let body = serde_json::to_vec(&change)
        .map_err(|error| Error::InvalidResponse(error.to_string().into()))?;
    let path = format!("/v1/zones/{}", utf8_percent_encode(zone, ENCODED));
    let view: ZoneView = read(client.cell(Method::PUT, None, &path, body).await?)?;
    let mut text = render::zones(std::slice::from_ref(&view));
    if view.targets == 0 {
        let names: Vec<&str> =
            zones.iter().filter(|view| view.targets > 0).map(|view| &*view.zone).collect();
        text.push_str(&format!(
            "no target has reported zone {zone}; the order holds for those that will. Zones with \
             targets: {}\n",
            if names.is_empty() { "none".into() } else { names.join(", ") }
        ));
    }
    output(&view, text)
}

/// A number above that of the last order, so that a delayed resend of an earlier order changes
/// nothing. Usually the time, by which the orders of several operators are numbered.
fn next_number(last: u64) -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(0).max(last + 1)
}

fn read<T>((status, body): (u16, Vec<u8>)) -> Result<T>
where
    T: DeserializeOwned,
{
    if status == 200 {
        return serde_json::from_slice(&body)
            .map_err(|error| Error::InvalidResponse(error.to_string().into()));
    }
    let problem: Value = serde_json::from_slice(&body).unwrap_or_default();
    let detail = problem.get("detail").or(problem.get("error")).and_then(Value::as_str);
    let detail = detail.unwrap_or("it gives no reason; use the yuccalink program of its release");
    Err(Error::Failed(format!("the server answered {status}: {detail}").into()))
}
