//! A daemon without a disk whose links to the voters are slow.

mod support;

use std::net::SocketAddr;
use support::{Daemons, VOTERS, until};
use yuccalink_fakes::slow_link;

/// Rate of the slow links: a fifth of 2 Mbit/s.
const BYTES_PER_SECOND: u64 = 50_000;
/// Documents of 40 KB each take 9.6 s over the link, six times the time limit of one request.
const SERVICE_COUNT: usize = 12;
const DOCUMENT_BYTES: usize = 40_000;

/// An entry never became ready if its documents took longer over the link than the time limit
/// of one request.
#[test]
fn an_entry_behind_a_slow_link_becomes_ready_with_any_number_of_documents() {
    let mut daemons = Daemons::start(4);
    for service in 0..SERVICE_COUNT {
        let comment = "#".repeat(DOCUMENT_BYTES);
        let text = format!("service = 's{service}'\nteam = 't'\nversion = 1\n{comment}\n");
        let reply = daemons.control(0).put(&format!("/v1/services/s{service}"), text.as_bytes());
        assert_eq!(reply.expect("an answer").status, 200);
    }
    daemons.kill(3);
    let slow = |voter| {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        slow_link::forward(any, daemons.address(voter, 8082), BYTES_PER_SECOND)
            .expect("a forwarder")
    };
    let voters: Vec<SocketAddr> = (0..VOTERS).map(slow).collect();
    daemons.launch_with(3, &voters);
    until("the entry behind the slow link", || daemons.is_ready(3).then_some(()));
    for service in 0..SERVICE_COUNT {
        let reply = daemons.control(3).get(&format!("/v1/services/s{service}"));
        assert_eq!(reply.expect("an answer").status, 200, "s{service}");
    }
}
