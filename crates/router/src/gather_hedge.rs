//! Hedges of a gather that are delegated to nodes near the servers. By the answers that are already here, those nodes
//! omit records that can no longer be among the wanted ones.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::answer_memory::AnswerReservation;
use crate::batch::{BatchFrame, BatchMode, BatchShard, ShardReply};
use crate::delegate::BatchRequest;
use crate::fold::{Record, ShardPart, find_last_wanted};
use crate::gather::GatherRound;
use crate::hedge::FarHedge;
use crate::peers::BatchEvent;

impl GatherRound<'_> {
    /// Sends hedges to the nodes that make them, in one batch per failure domain.
    pub(crate) fn send_hedges(&mut self, hedges: Vec<FarHedge>) {
        if hedges.is_empty() {
            return;
        }
        let floor = find_last_wanted(&self.fold(), self.top);
        let mut requests = BTreeMap::new();
        for FarHedge { position, peer } in hedges {
            let request = requests.entry(peer.entry.domain.clone()).or_insert_with(|| BatchRequest {
                peer,
                positions: Vec::new(),
                shards: Vec::new(),
                mode: BatchMode::Each { floor },
            });
            request.positions.push(position);
            let service = self.slots[position].attempts.service.clone();
            request.shards.push(BatchShard { service, reserved: None });
        }
        for request in requests.into_values() {
            let positions = request.positions.clone();
            let number = self.send(request);
            positions.iter().for_each(|position| self.slots[*position].hedge = Some(number));
        }
    }

    /// Handles an event of a batch of hedges that another node makes.
    pub(crate) fn handle_hedge_event(&mut self, number: usize, floor: Option<Record>, event: BatchEvent) {
        match event {
            BatchEvent::Frame(BatchFrame::Working) => {}
            BatchEvent::Frame(BatchFrame::Partial(reply)) => self.take_hedge_reply(number, floor, &reply),
            BatchEvent::Frame(BatchFrame::Done(reply)) => {
                self.batches[number].is_open = false;
                self.take_hedge_reply(number, floor, &reply);
                let positions = &self.batches[number].positions;
                let not_made = reply.missing.iter().filter(|shard| shard.sent == 0);
                let not_made: Vec<usize> =
                    not_made.filter_map(|shard| positions.get(shard.position as usize).copied()).collect();
                self.end_hedges(number, &not_made);
            }
            BatchEvent::Failed(error) => {
                self.batches[number].is_open = false;
                tracing::info!(
                    event = "hedges_failed",
                    request = self.context.request.id_text(),
                    peer = %self.batches[number].peer.entry.node,
                    %error
                );
                let not_made = if error.is_not_sent() { self.batches[number].positions.clone() } else { Vec::new() };
                self.end_hedges(number, &not_made);
            }
        }
    }

    /// Stores the shards of a reply that are not answered yet.
    fn take_hedge_reply(&mut self, number: usize, floor: Option<Record>, reply: &ShardReply) {
        let Some(proofs) = self.read_reply(number, reply) else { return };
        for ((index, proof), shard) in proofs.into_iter().zip(&reply.shards) {
            let position = self.batches[number].positions[index];
            let slot = &mut self.slots[position];
            slot.attempts.may_have_run = true;
            let records = Bytes::copy_from_slice(&shard.records);
            let records = AnswerReservation::hold(self.context.router.callers.clone(), records);
            slot.part.get_or_insert(ShardPart { proof, records, floor });
        }
    }

    /// Records that a batch of hedges has ended, and retries its unanswered shards that have no other attempt open.
    fn end_hedges(&mut self, number: usize, not_made: &[usize]) {
        for position in self.batches[number].positions.clone() {
            let slot = &mut self.slots[position];
            if slot.part.is_some() {
                continue;
            }
            slot.attempts.note_remote_hedge_end(!not_made.contains(&position));
            if !slot.attempts.is_open() {
                self.context.retry(position, &mut slot.attempts, &self.calls);
            }
        }
    }

    /// Folds the wanted records of the parts received. A part that came without its records under a floor is dropped if
    /// one of those records might be wanted after all, which can only happen if another part was replaced meanwhile.
    pub(crate) fn fold_proven(&mut self) -> Bytes {
        loop {
            let records = self.fold();
            let last = find_last_wanted(&records, self.top);
            let is_unproven = |part: &ShardPart| part.floor.is_some_and(|floor| last.is_none_or(|last| last < floor));
            let unproven = self.slots.iter().position(|slot| slot.part.as_ref().is_some_and(is_unproven));
            let Some(position) = unproven else { return records };
            tracing::warn!(
                event = "part_unproven",
                request = self.context.request.id_text(),
                service = %self.slots[position].attempts.service
            );
            self.slots[position].part = None;
        }
    }
}
