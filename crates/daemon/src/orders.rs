//! Sends orders to workers, one request at a time to each worker.

use crate::leader::OrderBatch;
use crate::replica::Replica;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use yuccalink_protocol::api::{Orders, OrdersTaken};
use yuccalink_state::command::TaskReport;
use yuccalink_state::id::WorkerKey;
use yuccalink_transport::http::{Request, header};
use yuccalink_transport::pool::{Pool, PoolSettings};

/// Timeout of one request to a worker; its orders are then sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response body of a worker, in bytes.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

pub(crate) struct OrderSender {
    replica: Rc<RefCell<Replica>>,
    pool: Pool,
    busy_workers: RefCell<BTreeSet<WorkerKey>>,
}

impl OrderSender {
    pub(crate) fn new(replica: Rc<RefCell<Replica>>) -> Self {
        let settings = PoolSettings { idle_per_address: 1, ..PoolSettings::default() };
        Self { replica, pool: Pool::new(settings), busy_workers: RefCell::default() }
    }

    /// Sends due orders for ever.
    pub(crate) async fn run(self: Rc<Self>) {
        let wake = self.replica.borrow().order_wake.clone();
        loop {
            wake.notified().await;
            let batches = match self.replica.borrow_mut().leader() {
                Some(leader) => leader.orders_due(&self.busy_workers.borrow()),
                None => continue,
            };
            for batch in batches {
                self.busy_workers.borrow_mut().insert(batch.worker);
                let sender = self.clone();
                tokio::task::spawn_local(async move { sender.deliver(batch).await });
            }
            self.pool.close_expired();
        }
    }

    async fn deliver(&self, batch: OrderBatch) {
        let OrderBatch { worker, name, incarnation, address, due, orders } = batch;
        let sent = self.send(&address, &Orders { incarnation, orders }).await;
        self.busy_workers.borrow_mut().remove(&worker);
        let mut replica = self.replica.borrow_mut();
        if let Some(leader) = replica.leader() {
            match sent {
                Ok(reports) => leader.record_reports(reports),
                Err(error) => {
                    log::warn!(
                        "{} orders to worker {name} failed: {error}; sending them again",
                        due.len()
                    );
                    leader.mark_orders_failed(&due);
                }
            }
        }
        replica.propose();
        replica.order_wake.notify_one();
    }

    async fn send(&self, address: &str, orders: &Orders) -> Result<Vec<TaskReport>, String> {
        let to: SocketAddr = address.parse().map_err(|e| format!("address {address}: {e}"))?;
        let body = serde_json::to_vec(orders).map_err(|e| e.to_string())?;
        let request = Request::post("/v1/orders")
            .header(header::HOST, address)
            .header(header::CONTENT_TYPE, yuccalink_transport::reply::JSON)
            .body(body.into())
            .map_err(|e| e.to_string())?;
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let mut response =
            self.pool.send(to, request, deadline).await.map_err(|e| e.to_string())?;
        let collected =
            tokio::time::timeout_at(deadline, response.collect_body(RESPONSE_MAX_BYTES));
        let body = collected
            .await
            .map_err(|_| "timed out while reading the response".to_string())?
            .map_err(|e| e.to_string())?
            .ok_or("the response is too large")?;
        if !response.head.status.is_success() {
            return Err(format!("status {}", response.head.status));
        }
        let accepted: OrdersTaken = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        Ok(accepted.reports)
    }
}
