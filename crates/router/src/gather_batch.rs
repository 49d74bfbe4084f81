//! The delegated part of a gather: sends batches of shards to other nodes and handles their replies.

use bytes::Bytes;
use http::HeaderValue;
use streamfold_model::{FailureDomain, NodeId};
use streamfold_policy::Mechanism;

use crate::answer_memory::AnswerReservation;
use crate::attempts::ServiceAttempts;
use crate::batch::{BatchFrame, BatchMode, BatchShard, FoldedShard, MissingShard, ShardReply};
use crate::delegate::{BatchRequest, PlannedBatch, read_next_frame};
use crate::fold::ShardPart;
use crate::gather::GatherRound;
use crate::pace_report::record_paces;
use crate::peers::{BatchEvent, PendingBatch};
use crate::quarantine;

impl GatherRound<'_> {
    /// Delegates shards to nodes near their servers.
    pub(crate) fn delegate(&mut self) {
        if !self.context.router.has(Mechanism::FarDelegation) || !self.context.is_unrestricted() {
            return;
        }
        for batch in self.context.plan_batches(&self.slots) {
            let services = batch.positions.iter().map(|position| &self.slots[*position].attempts.service);
            services.for_each(|service| self.context.note_delegated(service));
            self.send_planned(batch);
        }
    }

    fn send_planned(&mut self, batch: PlannedBatch) {
        self.context.canary.note_unrestricted();
        let PlannedBatch { peer, positions } = batch;
        let domain = peer.entry.domain.clone();
        let number = self.batches.len();
        let shards = positions.iter().map(|position| self.delegate_shard(*position, number, &domain)).collect();
        self.send(BatchRequest { peer, positions, shards, mode: BatchMode::Folded });
    }

    /// Delegates the shards that a node refused to another node of its failure domain that was not asked yet. This node
    /// queries the rest itself: all of them if there is no such node, otherwise those that it has already started on
    /// because the refusal came late.
    fn redelegate(&mut self, number: usize) {
        let refused = &self.batches[number];
        let domain = refused.peer.entry.domain.clone();
        let asked: Vec<&NodeId> = self.batches.iter().map(|batch| &batch.peer.entry.node).collect();
        let other = self.context.choose_other_peer(&domain, &asked);
        let can_delegate = |position: &usize| {
            let slot = &self.slots[*position];
            slot.part.is_none() && slot.attempts.is_unstarted()
        };
        let positions: Vec<usize> = refused.positions.iter().copied().filter(can_delegate).collect();
        if let (Some(peer), false, true) = (other, positions.is_empty(), self.context.is_unrestricted()) {
            self.batches[number].positions.retain(|position| !positions.contains(position));
            self.send_planned(PlannedBatch { peer, positions });
        }
        self.start_batch_shards(number, |_, attempts| attempts.note_remote_attempts(0, false));
    }

    /// Assigns a shard to a batch and reserves one server of the failure domain for this node.
    fn delegate_shard(&mut self, position: usize, number: usize, domain: &FailureDomain) -> BatchShard {
        let slot = &mut self.slots[position];
        slot.batch = Some(number);
        slot.attempts.reserved = self.context.choose_reserved(&slot.attempts, domain);
        BatchShard { service: slot.attempts.service.clone(), reserved: slot.attempts.reserved.clone() }
    }

    /// Sends a batch and returns its number.
    pub(crate) fn send(&mut self, request: BatchRequest) -> usize {
        let number = self.batches.len();
        let (slot, pending) = self.context.send_batch(number, request, &self.rule, self.top);
        self.batches.push(slot);
        self.pending_batches.push(pending);
        number
    }

    /// Takes over the shards of a batch because the other node has sent no progress frame in time.
    pub(crate) fn take_over(&mut self, number: usize) {
        let batch = &mut self.batches[number];
        batch.takeover_at = None;
        let now = self.context.now();
        batch.peer.state().note_overdue(now, batch.started);
        batch.peer.domain.note_overdue(now, batch.started, batch.peer.entry.node.as_str());
        tracing::info!(
            event = "batch_overdue",
            request = self.context.request.id_text(),
            peer = %batch.peer.entry.node,
            shards = batch.positions.len()
        );
        self.start_unresponsive(number);
    }

    /// Starts attempts for the shards of a batch whose node has stopped responding.
    fn start_unresponsive(&mut self, number: usize) {
        self.start_batch_shards(number, |_, attempts| attempts.note_unresponsive_node());
    }

    /// Starts attempts of this node for the unanswered shards of a batch, after `note` has recorded for each what the
    /// other node may have done.
    fn start_batch_shards(&mut self, number: usize, note: impl Fn(usize, &mut ServiceAttempts)) {
        for position in self.batches[number].positions.clone() {
            let slot = &mut self.slots[position];
            if slot.part.is_some() {
                continue;
            }
            note(position, &mut slot.attempts);
            if !slot.attempts.is_open() {
                self.context.start_first(position, &mut slot.attempts, &self.calls);
            }
        }
    }

    pub(crate) fn handle_batch_event(&mut self, number: usize, event: BatchEvent) {
        match self.batches[number].mode {
            BatchMode::Folded => self.handle_folded_event(number, event),
            BatchMode::Each { floor } => self.handle_hedge_event(number, floor, event),
        }
    }

    fn handle_folded_event(&mut self, number: usize, event: BatchEvent) {
        match event {
            BatchEvent::Frame(BatchFrame::Working) => {
                let batch = &mut self.batches[number];
                batch.takeover_at = Some(batch.reply_by);
            }
            BatchEvent::Frame(BatchFrame::Partial(reply)) => {
                self.batches[number].takeover_at = None;
                self.take_reply(number, reply);
            }
            BatchEvent::Frame(BatchFrame::Done(reply)) => {
                self.batches[number].is_open = false;
                let missing = reply.missing.clone();
                self.take_reply(number, reply);
                self.start_missing(number, &missing);
            }
            BatchEvent::Failed(error) => {
                self.batches[number].is_open = false;
                let is_not_sent = error.is_not_sent();
                tracing::info!(
                    event = "batch_failed",
                    request = self.context.request.id_text(),
                    peer = %self.batches[number].peer.entry.node,
                    %error
                );
                match is_not_sent {
                    true => self.redelegate(number),
                    false => self.start_unresponsive(number),
                }
            }
        }
    }

    pub(crate) fn keep_reading(&mut self, number: usize, pending: PendingBatch) {
        if self.batches[number].is_open {
            self.pending_batches.push(read_next_frame(number, pending));
        }
    }

    /// Stores the shards of a reply. Their records are folded together, so they replace whatever this node may have
    /// fetched for the same shards meanwhile.
    fn take_reply(&mut self, number: usize, reply: ShardReply) {
        let Some(proofs) = self.read_reply(number, &reply) else { return };
        let batch = &mut self.batches[number];
        batch.records = AnswerReservation::hold(self.context.router.callers.clone(), Bytes::from(reply.records));
        let positions = batch.positions.clone();
        if !proofs.is_empty() {
            self.context.canary.note_answered();
        }
        for (index, proof) in proofs {
            let slot = &mut self.slots[positions[index]];
            slot.attempts.may_have_run = true;
            slot.part = Some(ShardPart { proof, records: Bytes::new(), floor: None });
        }
    }

    /// Applies what a reply reports about the other node, and returns the proofs of its shards by their positions in
    /// the batch; `None` if the reply is malformed.
    pub(crate) fn read_reply(&self, number: usize, reply: &ShardReply) -> Option<Vec<(usize, HeaderValue)>> {
        let batch = &self.batches[number];
        self.context.router.note_version(reply.version);
        let (domain, node) = (&batch.peer.entry.domain, &batch.peer.entry.node);
        self.context.router.entry.note_report(self.context.now(), domain, node, &reply.report);
        quarantine::note_reported(&self.context.router, self.context.request.suspect, &reply.crashed);
        let services = batch.positions.iter().map(|position| &self.slots[*position].attempts.service);
        let domain = &batch.peer.entry.domain;
        record_paces(self.context.now(), &self.context.view, domain, services, &reply.report.paces);
        if reply.is_stopping {
            batch.peer.mark_stopping();
        }
        let proofs = read_proofs(&reply.shards, batch.positions.len());
        if proofs.is_none() {
            tracing::warn!(event = "batch_malformed", peer = %batch.peer.entry.node);
        }
        proofs
    }

    /// Starts attempts of this node for the shards that the other node could not get.
    fn start_missing(&mut self, number: usize, missing: &[MissingShard]) {
        let positions = self.batches[number].positions.clone();
        let note = |position: usize, attempts: &mut ServiceAttempts| {
            let reported = missing.iter().find(|shard| positions.get(shard.position as usize) == Some(&position));
            match reported {
                Some(shard) => attempts.note_remote_attempts(shard.sent, shard.has_reached_server),
                // The reply contains neither an answer nor the attempts made for this shard.
                None => attempts.note_unresponsive_node(),
            }
        };
        self.start_batch_shards(number, note);
    }
}

/// The proofs of a reply by their positions in the batch; `None` if a position is out of range or repeated, or a proof
/// is not a valid header value.
fn read_proofs(shards: &[FoldedShard], count: usize) -> Option<Vec<(usize, HeaderValue)>> {
    let mut seen = vec![false; count];
    let read = |shard: &FoldedShard| {
        let index = shard.position as usize;
        let is_new = seen.get_mut(index).is_some_and(|seen| !std::mem::replace(seen, true));
        let proof = HeaderValue::from_bytes(&shard.proof).ok()?;
        is_new.then_some((index, proof))
    };
    shards.iter().map(read).collect()
}
