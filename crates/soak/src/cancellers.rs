//! Callers that cancel their jobs.

use crate::callers::{Client, RETRY_PAUSE, job, read_state};
use crate::plan::{CancelTime, PlannedCancel};
use crate::run::SharedWatch;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use yuccalink_state::jobs::JobId;
use yuccalink_transport::http::Method;

/// Sends the requests of all planned jobs at their times. Returns the tasks that send them, which
/// end when each request has got a definite response.
pub(crate) async fn start(
    plan: &[PlannedCancel],
    nodes: Vec<SocketAddr>,
    watch: SharedWatch,
) -> JoinSet<()> {
    let began = Instant::now();
    let mut jobs = JoinSet::new();
    for planned in plan {
        tokio::time::sleep_until(began + planned.at).await;
        jobs.spawn_local(run(*planned, nodes.clone(), watch.clone()));
    }
    jobs
}

async fn run(planned: PlannedCancel, nodes: Vec<SocketAddr>, watch: SharedWatch) {
    let PlannedCancel { id, tasks, when, to, .. } = planned;
    let long_running = matches!(when, CancelTime::LongRunning(_));
    if long_running {
        watch.borrow_mut().record_long_running(id);
    }
    let body = job(tasks, long_running);
    let mut submitter = Client::new(nodes.clone(), to[0]);
    let mut canceller = Client::new(nodes, to[1]);
    let submission = async {
        let accepted = submit(&mut submitter, id, &body).await;
        if accepted && !watch.borrow().cancels.is_requested(id) {
            watch.borrow_mut().record_accepted(id, tasks);
        }
    };
    match when {
        CancelTime::Promptly => {
            submission.await;
            cancel(&mut canceller, &watch, id).await;
        }
        CancelTime::After(pause) | CancelTime::LongRunning(pause) => {
            submission.await;
            tokio::time::sleep(pause).await;
            cancel(&mut canceller, &watch, id).await;
        }
        CancelTime::WhileSubmitting(pause) => {
            let cancellation = async {
                tokio::time::sleep(pause).await;
                cancel(&mut canceller, &watch, id).await;
            };
            tokio::join!(submission, cancellation);
        }
        CancelTime::BeforeSubmitting(pause) => {
            let late_submission = async {
                tokio::time::sleep(pause).await;
                submission.await;
            };
            tokio::join!(late_submission, cancel(&mut canceller, &watch, id));
        }
        CancelTime::InsteadOfSubmitting => {
            cancel(&mut canceller, &watch, id).await;
            submission.await;
        }
    }
    if planned.resent {
        cancel(&mut canceller, &watch, id).await;
    }
    if let Some(pause) = planned.copy_after {
        tokio::time::sleep(pause).await;
        submit(&mut submitter, id, &body).await;
    }
}

/// Submits a job, again until the response is definite. Returns whether it was accepted.
pub(crate) async fn submit(client: &mut Client, id: JobId, body: &[u8]) -> bool {
    loop {
        match client.send(Method::POST, &format!("/q/{id}"), body.to_vec()).await {
            Some((200, _)) => return true,
            Some((400 | 404 | 409 | 410 | 429, _)) => return false,
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Cancels a job, again until the response is 2xx or 410.
pub(crate) async fn cancel(client: &mut Client, watch: &SharedWatch, id: JobId) {
    watch.borrow_mut().cancels.record_requested(id);
    loop {
        match client.send(Method::DELETE, &format!("/q/{id}"), Vec::new()).await {
            Some((status @ (200..=299 | 410), _)) => {
                return watch.borrow_mut().record_cancelled(id, status == 410);
            }
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Reads the states of the jobs whose cancellation was answered, all the time.
pub(crate) async fn poll_states(mut client: Client, watch: SharedWatch) {
    loop {
        let answered = watch.borrow().cancels.answered();
        for id in answered {
            read_state(&mut client, &watch, id).await;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Waits until all requests have got a definite response.
pub(crate) async fn finish(mut jobs: JoinSet<()>, limit: Duration, watch: &SharedWatch) {
    let all = async { while jobs.join_next().await.is_some() {} };
    if tokio::time::timeout(limit, all).await.is_err() {
        let unanswered = watch.borrow().cancels.unanswered();
        let violation = format!(
            "requests of callers that cancel got no definite response within {limit:?}, \
             {unanswered} of them cancellations"
        );
        watch.borrow_mut().report.violations.push(violation);
    }
}
