//! Application of document commands.

use super::*;
impl StateMachine {
    pub(super) fn apply_document(&mut self, apply: Apply) -> Outcome {
        let name = apply.document.service.clone();
        let Some(key) = self.service_keys.get(&name).copied() else {
            let key = ServiceKey(u32::try_from(self.services.len()).unwrap_or(u32::MAX));
            let service = self.accept(apply, VecDeque::new());
            self.services.push(service);
            self.service_keys.insert(name, key);
            return Outcome::Accepted { revision: self.revision, resent: false };
        };
        let service = self.service_at(key);
        let version = apply.document.version;
        let known_version = service.past.iter().find(|past| past.version == version);
        if let Some(past) = known_version
            && past.digest == apply.digest
        {
            return Outcome::Accepted { revision: past.revision, resent: true };
        }
        let current = &service.accepted;
        if version <= current.document.version {
            // Of two texts with the same version, the first committed one wins. The
            // sender of the other is told the winner, so that nobody believes that a
            // rejected change is in force.
            let winner = known_version
                .map_or((current.document.version, &current.author, current.revision), |p| {
                    (p.version, &p.author, p.revision)
                });
            let (version, author, revision) = winner;
            return Outcome::Conflict { version, author: author.clone(), revision };
        }
        let past = std::mem::take(&mut self.services[key.0 as usize].past);
        let service = self.accept(apply, past);
        self.services[key.0 as usize] = service;
        self.rerank(key);
        Outcome::Accepted { revision: self.revision, resent: false }
    }

    pub(super) fn accept(&mut self, apply: Apply, mut past: VecDeque<PastVersion>) -> Service {
        self.revision = Revision(self.revision.0 + 1);
        let Apply { document, text, digest, author } = apply;
        if past.len() == PAST_VERSIONS {
            past.pop_front();
        }
        past.push_back(PastVersion {
            version: document.version,
            digest,
            revision: self.revision,
            author: author.clone(),
        });
        Service { accepted: Accepted { document, text, revision: self.revision, author }, past }
    }

    /// Sorts a service's waiting tasks again, since a new document may change their rank.
    pub(super) fn rerank(&mut self, key: ServiceKey) {
        let reranked: Vec<(Rank, TaskId)> = self
            .waiting
            .iter()
            .copied()
            .filter(|(_, id)| self.tasks.get(id).is_some_and(|task| task.service == key))
            .collect();
        for at in reranked {
            self.waiting.remove(&at);
            self.index(at.1);
        }
    }
}
