//! Bootstraps a new cell if this process is the one to do so, and adjusts the voters while it
//! leads.

use crate::cell::node::{Node, SharedNode};
use std::time::Duration;
use yuccalink_coordination::peer_table::member_of;
use yuccalink_coordination::raft::{Members, ReplicaId};
use yuccalink_coordination::voters::{self, MembershipView};

/// Interval between checks of the voters.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the membership periodically until the process ends.
pub(crate) async fn run(node: SharedNode) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        node.with(|node| {
            bootstrap(node);
            update_voters(node);
        });
        node.tick();
    }
}

fn bootstrap(node: &mut Node) {
    let empty = node.replica.as_ref().is_some_and(|replica| replica.raft.is_empty());
    if !node.peer_table.should_bootstrap(empty) {
        return;
    }
    let now = node.now();
    let Some(member) = member_of(&node.peer_table.me) else { return };
    let Some(replica) = &mut node.replica else { return };
    if replica.raft.is_empty() {
        log::info!("bootstrapping a new Raft group with voters {}", member.id);
        replica.raft.bootstrap(Members { voters: vec![member], learners: Vec::new() }, now.at);
    }
}

fn update_voters(node: &mut Node) {
    let now = node.now();
    let disks = node.peer_table.candidates(now.at);
    let wanted = voters::wanted(node.cfg.tolerated_disk_losses);
    let Some(replica) = &mut node.replica else { return };
    if !replica.raft.has_committed_in_term() || !replica.raft.members_committed() {
        return;
    }
    let members = replica.raft.members().clone();
    let ids: Vec<ReplicaId> = members.all().map(|member| member.id).collect();
    let silent = ids.iter().filter_map(|id| Some((*id, replica.silence(now.at, *id)?))).collect();
    let caught_up = ids.into_iter().filter(|id| replica.raft.is_caught_up(*id)).collect();
    let own = replica.raft.id();
    let view = MembershipView { members, own, disks, silent, caught_up };
    if let Some((members, why)) = voters::next(&view, wanted) {
        match replica.raft.change_members(now.at, members) {
            Ok(()) => log::info!("members: {why}"),
            Err(error) => log::info!("members: {why}: {error}"),
        }
    }
}
