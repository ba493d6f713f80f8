//! Messages that runners and workers send to the entries: announcements, heartbeats and leave
//! notices.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_protocol::api::HeartbeatReply;
use yuccalink_transport::http::{Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

/// Deadline for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// Sends messages to the entries in round-robin order, as a load balancer would.
pub(crate) struct Announcer {
    entries: Vec<SocketAddr>,
    next: usize,
    pool: Pool,
}

/// Result of a message to an entry.
pub(crate) enum AnnounceOutcome {
    /// The entry accepted the message.
    Accepted(HeartbeatReply),
    /// The entry does not know the target, which must announce itself.
    UnknownTarget,
    /// Any other result; the message must be sent again.
    Failed(String),
}

impl Announcer {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Self {
        Self { entries, next: 0, pool: Pool::new(PoolSettings::default()) }
    }

    pub(crate) async fn send<T>(&mut self, path: &str, message: &T) -> AnnounceOutcome
    where
        T: Serialize,
    {
        let Some(entry) = self.entries.get(self.next % self.entries.len().max(1)).copied() else {
            return AnnounceOutcome::Failed("no entry address is configured".into());
        };
        self.next += 1;
        match self.post(entry, path, message).await {
            Ok((200, body)) => match serde_json::from_slice(&body) {
                Ok(reply) => AnnounceOutcome::Accepted(reply),
                Err(_) => AnnounceOutcome::Accepted(HeartbeatReply {
                    heartbeat_ms: 1000,
                    lease_ms: None,
                    send_held: false,
                }),
            },
            Ok((404, _)) => AnnounceOutcome::UnknownTarget,
            Ok((status, body)) => AnnounceOutcome::Failed(format!(
                "status {status}: {}",
                String::from_utf8_lossy(&body)
            )),
            Err(why) => AnnounceOutcome::Failed(why),
        }
    }

    async fn post<T>(
        &self,
        entry: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<(u16, Vec<u8>), String>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(message).map_err(|e| e.to_string())?;
        let req = Request::post(path)
            .header(header::HOST, entry.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(body.into())
            .map_err(|e| e.to_string())?;
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let mut response = self.pool.send(entry, req, deadline).await.map_err(|e| e.to_string())?;
        let collected =
            tokio::time::timeout_at(deadline, response.collect_body(RESPONSE_MAX_BYTES)).await;
        let body = collected.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
        Ok((response.head.status.as_u16(), body.unwrap_or_default().to_vec()))
    }
}

/// Draws a random incarnation number for this run of the process.
pub(crate) fn random_incarnation() -> u64 {
    use rand::TryRng as _;
    rand::rngs::SysRng.try_next_u64().unwrap_or(1) >> 1
}
