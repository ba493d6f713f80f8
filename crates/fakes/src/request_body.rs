//! Bodies of the requests that the fakes receive.

use bytes::Bytes;
use std::time::Duration;
use xitca_web::body::RequestBody;
use yuccalink_transport::account::{AccountBounds, ClientAccount, ClientClass};
use yuccalink_transport::request_body::{BodyBounds, Holding};
use yuccalink_transport::server::read_body;

const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Reads a whole body; returns an empty one if it cannot be read.
pub(crate) async fn read_whole(body: RequestBody, time: Duration) -> Bytes {
    let account =
        ClientAccount::new(AccountBounds { bytes: usize::MAX, ..AccountBounds::default() });
    let mut holding = Holding::new(account.open(ClientClass::Callers).into());
    let bounds = BodyBounds { bytes: BODY_MAX_BYTES, time };
    read_body(body, bounds, &mut holding).await.unwrap_or_default()
}
