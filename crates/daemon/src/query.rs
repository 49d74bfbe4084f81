//! A query at its entry node: pins it to an index version, sends its pieces to their owners (scatter) and merges the
//! replies (gather).

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

/// Maximum number of rounds of a query; each new one is at a newer index version.
const MAX_ROUNDS: u32 = 6;
/// Delay before the owners are asked for index versions again, if no server has reported any.
const VERSION_POLL_DELAY: Duration = Duration::from_millis(20);

/// A query with everything that its execution needs.
pub struct QueryJob {
    /// Id of the request.
    pub request: RequestId,
    /// The index's configuration.
    pub index: Arc<IndexSpec>,
    /// The body, forwarded as it is.
    pub body: Bytes,
    /// The requested shards; `None` for all.
    pub shards: Option<Vec<ShardId>>,
    /// When the request arrived.
    pub started: Moment,
    /// When the answer is due.
    pub deadline: Moment,
    /// The rule that decides when the query is answered with the results so far.
    pub rule: FinishRule,
}

/// Why a query has no answer. None of its attempts ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryFailure {
    /// A requested shard is not in the layout of this many shards.
    NoSuchShard(ShardId, usize),
    /// No server has reported its index versions.
    NoVersion,
}

/// Runs a query and returns its answer.
///
/// # Errors
/// A requested shard does not exist, or no index version is known until the deadline.
pub async fn run(
    node: &Arc<Node>,
    view: &Arc<ClusterView>,
    job: &QueryJob,
    work: &mut WorkReport,
) -> Result<QueryAnswer, QueryFailure> {
    let config = view.config.as_ref().ok_or(QueryFailure::NoVersion)?;
    for attempt in 1..=MAX_ROUNDS {
        let Some((version, layout)) = pin(view, job) else {
            query_versions(node, view, job, job.index.newest_layout()).await?;
            continue;
        };
        let may_restart = attempt < MAX_ROUNDS;
        let mut round = QueryRound::new(node, view, config, job, Some(version), layout)?;
        let outcome = round.run(may_restart).await;
        work.waited += round.work.waited;
        work.served += round.work.served;
        match outcome {
            RoundOutcome::Answer(merger) => return Ok(answer(node, config, job, version, merger)),
            RoundOutcome::Restart => stats::count_restart(),
        }
    }
    Err(QueryFailure::NoVersion)
}

fn answer(
    node: &Node,
    config: &Configuration,
    job: &QueryJob,
    version: IndexVersion,
    merger: AnswerMerger,
) -> QueryAnswer {
    let (coverage, results) = merger.finish();
    stats::count_shards(coverage.shards, coverage.answered);
    QueryAnswer {
        request: job.request,
        index_version: version,
        config_version: config.version,
        config_age_ms: node.keeper.age_ms(),
        coverage,
        results,
    }
}

/// Chooses the index version that a query is pinned to, and its layout: the newest layout whose upstreams have reported
/// a version of it.
pub fn pin<'a>(view: &ClusterView, job: &'a QueryJob) -> Option<(IndexVersion, &'a ShardLayout)> {
    let mut cap = IndexVersion(u64::MAX);
    for layout in job.index.layouts.iter().rev() {
        let upstream_lists = wanted_shards(job, layout).filter_map(|shard| layout.shards.get(shard.0 as usize));
        let mut upstreams: Vec<UpstreamIndex> =
            upstream_lists.flat_map(|upstream_list| upstream_list.iter().copied()).collect();
        upstreams.dedup();
        let versions = upstreams.iter().filter_map(|upstream| view.versions.get(&job.index.name, *upstream));
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

/// The shards of a layout that a query requests.
pub fn wanted_shards<'a>(job: &'a QueryJob, layout: &'a ShardLayout) -> Box<dyn Iterator<Item = ShardId> + 'a> {
    match &job.shards {
        Some(shards) => Box::new(shards.iter().copied()),
        None => Box::new((0..layout.shards.len() as u32).map(ShardId)),
    }
}

/// Asks the owners which index versions their servers hold, until a version can be pinned or the deadline passes.
async fn query_versions(
    node: &Arc<Node>,
    view: &Arc<ClusterView>,
    job: &QueryJob,
    layout: &ShardLayout,
) -> Result<(), QueryFailure> {
    let config = view.config.as_ref().ok_or(QueryFailure::NoVersion)?;
    while node.clock.now() < job.deadline && !node.is_giving_up() {
        let mut round = QueryRound::new(node, view, config, job, None, layout)?;
        round.run(false).await;
        if pin(view, job).is_some() {
            return Ok(());
        }
        tokio::time::sleep(VERSION_POLL_DELAY).await;
    }
    Err(QueryFailure::NoVersion)
}
