//! What other daemons may ask of this one.

use crate::leader::Leader;
use crate::link;
use crate::shared::no_leader;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::oneshot;
use yuccalink_protocol::peer::{self, Answer, Ask, EntryState};
use yuccalink_protocol::peer_capnp::peer as schema;
use yuccalink_state::id::Name;

/// Serves the calls of other daemons.
pub(crate) struct PeerService {
    name: Name,
    leader: Option<Rc<RefCell<Leader>>>,
}

impl PeerService {
    pub(crate) fn new(name: Name, leader: Option<Rc<RefCell<Leader>>>) -> Self {
        Self { name, leader }
    }

    fn leader(&self) -> Result<&Rc<RefCell<Leader>>, capnp::Error> {
        self.leader.as_ref().ok_or_else(|| {
            capnp::Error::failed("this daemon does not lead; ask a voter".to_string())
        })
    }
}

fn failed(error: &impl ToString) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

impl schema::Server for PeerService {
    async fn hello(
        self: Rc<Self>,
        params: schema::HelloParams,
        mut results: schema::HelloResults,
    ) -> Result<(), capnp::Error> {
        let hello = params.get()?.get_hello()?;
        let version = hello.get_version();
        if version != peer::VERSION {
            let from = hello.get_entry()?.to_str()?;
            log::error!("daemon {from} speaks protocol version {version}, not {}", peer::VERSION);
        }
        let mut welcome = results.get().init_welcome();
        welcome.set_version(peer::VERSION);
        welcome.set_entry(self.name.as_str());
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: schema::AskParams,
        mut results: schema::AskResults,
    ) -> Result<(), capnp::Error> {
        let leader = self.leader()?;
        let asks: Vec<Ask> = peer::read_parts(params.get()?.get_asks()?).map_err(|e| failed(&e))?;
        let mut pending = Vec::with_capacity(asks.len());
        for ask in asks {
            let (reply, answer) = oneshot::channel();
            leader.borrow_mut().ask(ask, reply);
            pending.push(answer);
        }
        let mut answers = Vec::with_capacity(pending.len());
        for answer in pending {
            answers.push(answer.await.unwrap_or_else(|_| Answer::Problem(no_leader())));
        }
        let list = results.get().init_answers(peer::count(&answers));
        peer::fill_parts(list, &answers).map_err(|e| failed(&e))
    }

    async fn sync(
        self: Rc<Self>,
        params: schema::SyncParams,
        mut results: schema::SyncResults,
    ) -> Result<(), capnp::Error> {
        let leader = self.leader()?;
        let state = EntryState::read(params.get()?.get_state()?).map_err(|e| failed(&e))?;
        let news = link::news(leader, &state).await;
        news.fill(results.get().init_news()).map_err(|e| failed(&e))
    }
}
