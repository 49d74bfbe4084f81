//! One query at its entry node: pin, plan, send to owners, fold, answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use streamfold_model::{
    Configuration, IndexSpec, IndexVersion, QueryAnswer, RequestId, ShardId, ShardLayout, UpstreamIndex,
};
use streamfold_policy::pin::choose_version;
use streamfold_policy::{FinishRule, Moment, WorkReport};

use crate::merger::AnswerMerger;
use crate::node::Node;
use crate::round::{QueryRound, RoundOutcome};
use crate::stats;
use crate::view::ClusterView;

/// How often a query may start again at a newer index version.
const MAX_ROUNDS: u32 = 6;
/// Pause before versions are asked for again when no server told any.
const UNPINNED_DELAY: Duration = Duration::from_millis(20);

/// A query that was let in.
pub struct QueryJob {
    /// Its id.
    pub request: RequestId,
    /// The index.
    pub index: Arc<IndexSpec>,
    /// The body, passed on unread.
    pub body: Bytes,
    /// The shards wanted; all without it.
    pub wanted: Option<Vec<ShardId>>,
    /// When it came in.
    pub started: Moment,
    /// When it must be answered.
    pub deadline: Moment,
    /// When it may be answered.
    pub rule: FinishRule,
}

/// Why a query has no answer at all. None of its attempts ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryFailure {
    /// A wanted shard is not in the layout.
    NoSuchShard(ShardId, usize),
    /// No server told which index versions it holds.
    NoVersion,
}

/// Runs a query to its answer.
///
/// # Errors
/// No answer of any coverage can be given.
pub async fn run(
    node: &Arc<Node>,
    view: &Arc<ClusterView>,
    ask: &QueryJob,
    work: &mut WorkReport,
) -> Result<QueryAnswer, QueryFailure> {
    let config = view.config.as_ref().ok_or(QueryFailure::NoVersion)?;
    for round in 1..=MAX_ROUNDS {
        let Some((version, layout)) = pin(view, ask) else {
            query_versions(node, view, ask, ask.index.newest_layout()).await?;
            continue;
        };
        let may_restart = round < MAX_ROUNDS;
        let mut query = QueryRound::new(node, view, config, ask, Some(version), layout)?;
        let end = query.run(may_restart).await;
        work.waited += query.work.waited;
        work.served += query.work.served;
        match end {
            RoundOutcome::Answer(fold) => return Ok(answer(node, config, ask, version, fold)),
            RoundOutcome::Restart => stats::count_restart(),
        }
    }
    Err(QueryFailure::NoVersion)
}

fn answer(
    node: &Node,
    config: &Configuration,
    ask: &QueryJob,
    version: IndexVersion,
    fold: AnswerMerger,
) -> QueryAnswer {
    let (coverage, results) = fold.finish();
    stats::count_shards(coverage.shards, coverage.answered);
    QueryAnswer {
        request: ask.request,
        index_version: version,
        config_version: config.version,
        config_age_ms: node.keeper.age_ms(),
        coverage,
        results,
    }
}

/// The version to run at and its layout: the newest layout whose upstreams are believed to
/// have reached it.
pub fn pin<'a>(view: &ClusterView, ask: &'a QueryJob) -> Option<(IndexVersion, &'a ShardLayout)> {
    let mut cap = IndexVersion(u64::MAX);
    for layout in ask.index.layouts.iter().rev() {
        let holders = wanted_shards(ask, layout).filter_map(|shard| layout.shards.get(shard.0 as usize));
        let mut upstreams: Vec<UpstreamIndex> = holders.flat_map(|holders| holders.iter().copied()).collect();
        upstreams.dedup();
        let versions = upstreams.iter().filter_map(|upstream| view.versions.get(&ask.index.name, *upstream));
        let held: Vec<_> = versions.collect();
        if let Some(version) = choose_version(&held, cap)
            && version >= layout.first_version
        {
            return Some((version, layout));
        }
        cap = IndexVersion(layout.first_version.0.saturating_sub(1));
    }
    None
}

/// The shards a query wants of a layout.
pub fn wanted_shards<'a>(ask: &'a QueryJob, layout: &'a ShardLayout) -> Box<dyn Iterator<Item = ShardId> + 'a> {
    match &ask.wanted {
        Some(wanted) => Box::new(wanted.iter().copied()),
        None => Box::new((0..layout.shards.len() as u32).map(ShardId)),
    }
}

/// Asks the owners which versions their servers hold, until some are known.
async fn query_versions(
    node: &Arc<Node>,
    view: &Arc<ClusterView>,
    ask: &QueryJob,
    layout: &ShardLayout,
) -> Result<(), QueryFailure> {
    let config = view.config.as_ref().ok_or(QueryFailure::NoVersion)?;
    while node.clock.now() < ask.deadline {
        let mut query = QueryRound::new(node, view, config, ask, None, layout)?;
        query.run(false).await;
        if pin(view, ask).is_some() {
            return Ok(());
        }
        tokio::time::sleep(UNPINNED_DELAY).await;
    }
    Err(QueryFailure::NoVersion)
}
