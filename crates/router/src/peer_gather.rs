//! A gather over the shards of a batch, for another node.

use std::time::Duration;

use streamfold_model::GatherSpec;
use streamfold_policy::fold_rule::FoldRule;
use streamfold_policy::server_bound::SendPermission;

use crate::attempt_context::AttemptContext;
use crate::batch::{BatchMode, DomainReport, FoldedShard, MissingShard, ServerPace, ShardBatch, ShardReply};
use crate::fold::trim_records;
use crate::gather::GatherRound;
use crate::pace_report::tell_paces;

/// The shards of a batch, asked for another node.
pub struct PeerGather<'a> {
    round: GatherRound<'a>,
    mode: BatchMode,
    told: usize,
}

impl<'a> PeerGather<'a> {
    /// Starts to ask the shards.
    pub fn start(context: &'a AttemptContext, fold: &GatherSpec, batch: &ShardBatch, reply_within: Duration) -> Self {
        let limit = context.request.deadline.since(context.request.started);
        let rule = FoldRule { target: reply_within.min(limit), limit, min_coverage: 0.0, shards: fold.shards.len() };
        let mut round = GatherRound::new(context, fold, rule);
        for (slot, shard) in round.slots.iter_mut().zip(&batch.shards) {
            slot.attempts.send_permission = SendPermission::Delegated { reserved: shard.reserved.clone() };
        }
        round.start_direct_calls();
        Self { round, mode: batch.mode, told: 0 }
    }

    /// The next reply: one with what is there once the wanted time is over, one with each
    /// shard that comes after, and at last one with all that will come. Only the last is
    /// marked so.
    pub async fn next(&mut self) -> (ShardReply, bool) {
        loop {
            self.round.wait().await;
            let answered = self.round.answered();
            let elapsed = self.round.context.now().since(self.round.context.request.started);
            let is_last = self.round.pending() == 0 || elapsed >= self.round.rule.limit;
            if is_last || answered > self.told {
                self.told = answered;
                return (self.round.reply(self.mode), is_last);
            }
            self.round.wait_for_next_event().await;
        }
    }
}

impl GatherRound<'_> {
    pub(crate) fn reply(&self, mode: BatchMode) -> ShardReply {
        let mut shards = Vec::new();
        let mut missing = Vec::new();
        for (slot, position) in self.slots.iter().zip(0..) {
            match &slot.part {
                Some(part) => {
                    let records = match mode {
                        BatchMode::Folded => Vec::new(),
                        BatchMode::Each { floor } => trim_records(&part.records, floor),
                    };
                    shards.push(FoldedShard { position, proof: part.proof.as_bytes().to_vec(), records });
                }
                None => {
                    let (sent, has_reached_server) = slot.attempts.attempt_counts();
                    missing.push(MissingShard { position, sent, has_reached_server });
                }
            }
        }
        let version = self.context.router.cluster.version();
        let records = match mode {
            BatchMode::Folded => self.fold().to_vec(),
            BatchMode::Each { .. } => Vec::new(),
        };
        let crashed = self.context.router.cluster.quarantine.crashed(self.context.request.suspect.content);
        let waits = self.context.view.waits.report(self.context.now());
        let report = DomainReport { waits, paces: self.tell_paces() };
        ShardReply { version, is_stopping: false, shards, missing, records, crashed, report }
    }

    fn tell_paces(&self) -> Vec<ServerPace> {
        let services = self.slots.iter().map(|slot| &slot.attempts.service);
        tell_paces(self.context.now(), &self.context.view, services)
    }
}
