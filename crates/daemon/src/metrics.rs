//! StatsD metrics. `docs/OPERATIONS.md` lists all names.

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink};
use cadence::{StatsdClient, Timed};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use yuccalink_transport::account::{ClientAccount, ClientClass};

const PREFIX: &str = "yuccalink";
/// Maximum number of metrics in the send queue. Further metrics are dropped.
const QUEUE_CAPACITY: usize = 64 * 1024;

/// Sends metrics to the configured StatsD server; does nothing if none is configured.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    enabled: bool,
}

/// Result of a caller's request, sent as a tag of the metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestResult {
    Answered,
    NotRun,
    Unknown,
    Failed,
}

impl RequestResult {
    fn tag(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

impl Metrics {
    pub(crate) fn new(statsd: Option<SocketAddr>) -> Self {
        let sink = statsd.and_then(|address| {
            let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
            let socket = UdpSocket::bind(local).ok()?;
            socket.set_nonblocking(true).ok()?;
            BufferedUdpMetricSink::from(address, socket).ok()
        });
        match sink {
            Some(sink) => {
                let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
                Self { client: StatsdClient::from_sink(PREFIX, queue), enabled: true }
            }
            None => {
                if let Some(address) = statsd {
                    log::error!("cannot send metrics to {address}; check --statsd");
                }
                Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink), enabled: false }
            }
        }
    }

    pub(crate) fn request(&self, service: &str, result: RequestResult, took: Duration) {
        if !self.enabled {
            return;
        }
        let result = result.tag();
        let count = self.client.count_with_tags("requests", 1);
        let _ = count.with_tag("service", service).with_tag("result", result).try_send();
        let time = self.client.time_with_tags("request_time", took);
        let _ = time.with_tag("service", service).try_send();
    }

    pub(crate) fn count(&self, name: &str, by: u64) {
        if self.enabled {
            let _ = self.client.count(name, i64::try_from(by).unwrap_or(i64::MAX));
        }
    }

    /// Sends what clients make the process hold, its bound, and how many were refused.
    pub(crate) fn clients(&self, account: &ClientAccount) {
        if !self.enabled {
            return;
        }
        for class in [ClientClass::Callers, ClientClass::Control, ClientClass::Peers] {
            let usage = account.usage(class);
            let values = [
                ("clients_held_bytes", usage.held as u64),
                ("clients_bound_bytes", usage.bound as u64),
                ("requests_without_memory", usage.refused_requests),
                ("clients_gave_way", usage.gave_way),
            ];
            for (name, value) in values {
                let gauge = self.client.gauge_with_tags(name, value);
                let _ = gauge.with_tag("clients", class.name()).try_send();
            }
        }
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        if self.enabled {
            let _ = self.client.gauge(name, value);
        }
    }
}
