//! Sends the calls of a delegated batch to its shards and builds the replies to the delegating node.

use std::time::Duration;

use streamfold_model::GatherSpec;
use streamfold_policy::fold_rule::FoldRule;
use streamfold_policy::server_bound::SendPermission;

use crate::attempt_context::AttemptContext;
use crate::batch::{BatchMode, DomainReport, FoldedShard, MissingShard, ServerPace, ShardBatch, ShardReply};
use crate::fold::trim_records;
use crate::gather::GatherRound;
use crate::pace_report::report_paces;

/// A gather over the shards of a batch of another node.
pub struct PeerGather<'a> {
    round: GatherRound<'a>,
    mode: BatchMode,
    /// Number of answered shards in the last reply.
    replied: usize,
}

impl<'a> PeerGather<'a> {
    /// Sends the first call to each shard.
    pub fn start(context: &'a AttemptContext, spec: &GatherSpec, batch: &ShardBatch, reply_within: Duration) -> Self {
        let limit = context.request.deadline.since(context.request.started);
        let rule = FoldRule { target: reply_within.min(limit), limit, min_coverage: 0.0, shards: spec.shards.len() };
        let mut round = GatherRound::new(context, spec, rule);
        for (slot, shard) in round.slots.iter_mut().zip(&batch.shards) {
            slot.attempts.send_permission = SendPermission::Delegated { reserved: shard.reserved.clone() };
        }
        round.start_direct_calls();
        Self { round, mode: batch.mode, replied: 0 }
    }

    /// Waits for the next reply and returns whether it is the last one. The first reply has the answers received when
    /// the requested time is over, a further one follows for each later answer, and the last one is sent when all
    /// shards have answered or no further answer can arrive in time.
    pub async fn next(&mut self) -> (ShardReply, bool) {
        loop {
            self.round.wait().await;
            let answered = self.round.answered();
            let elapsed = self.round.context.now().since(self.round.context.request.started);
            let is_last = self.round.pending() == 0 || elapsed >= self.round.rule.limit;
            if is_last || answered > self.replied {
                self.replied = answered;
                return (self.round.reply(self.mode), is_last);
            }
            self.round.wait_for_next_event().await;
        }
    }
}

impl GatherRound<'_> {
    /// Builds a reply with the answers received so far, the missing shards and the reports of this failure domain.
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
        let report = DomainReport { waits, paces: self.report_paces() };
        ShardReply { version, is_stopping: false, shards, missing, records, crashed, report }
    }

    fn report_paces(&self) -> Vec<ServerPace> {
        let services = self.slots.iter().map(|slot| &slot.attempts.service);
        report_paces(self.context.now(), &self.context.view, services)
    }
}
