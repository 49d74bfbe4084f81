//! What nodes tell each other at once of a content that was found to end servers. The platform's store tells it to all
//! nodes and keeps it, but a caller that asks again at another node may be sooner, and the store may be away.

use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use futures_util::future::join_all;
use streamfold_model::{CrashEntry, FailureDomain};
use streamfold_policy::crash_tracker::CrashSuspect;

use crate::peers::PeerNode;
use crate::quarantine;
use crate::router::Router;

/// Path of the news, with the form of the messages.
pub const PATH_QUARANTINE: &str = "/1/quarantine";
/// How long a request is answered later at most, so that other nodes know before its caller can ask them: regions are
/// up to 12 ms apart one way, and nodes of the own failure domain are told by way of others.
const KNOWN_WITHIN: Duration = Duration::from_millis(50);
/// How long another node may take to say that it knows; the link to one that does not is not blamed for less.
const TELL_TIMEOUT: Duration = Duration::from_secs(1);

/// A content that is held off from now on.
#[derive(Debug, Clone, Encode, Decode)]
pub struct QuarantineNews {
    /// The content and the servers that ended under it.
    pub entry: CrashEntry,
    /// The failure domain whose nodes are to be told by those that hear of it: a node has links to few of its own.
    pub pass_to: Option<FailureDomain>,
}

/// Says that the news is known.
#[derive(Debug, Clone, Copy, Encode, Decode)]
pub struct QuarantineAck;

/// Holds a content off that was found to end servers, and tells all nodes; returns when those in reach know, or after a
/// while.
pub(crate) async fn blame(router: &Arc<Router>, suspect: CrashSuspect) {
    let now = router.clock.now();
    let Some(entry) = router.cluster.quarantine.blame(now, suspect.content) else { return };
    tokio::spawn(quarantine::share(router.clone(), entry.clone()));
    tell_all(router, entry).await;
}

/// Tells all nodes in reach that a content is held off, or tried again; returns when they know, or after a while.
pub(crate) async fn tell_all(router: &Router, entry: CrashEntry) {
    let pass_to = Some(router.cluster.context().domain.clone());
    tell_each(router, &QuarantineNews { entry, pass_to }, |_| true).await;
}

/// Takes what another node has found out, and tells on whom it could not reach.
pub(crate) async fn take(router: &Arc<Router>, news: QuarantineNews) -> QuarantineAck {
    let QuarantineNews { entry, pass_to } = news;
    let is_news = router.cluster.quarantine.put_blamed(router.clock.now(), &entry);
    if let (true, Some(domain)) = (is_news, pass_to) {
        tell_each(router, &QuarantineNews { entry, pass_to: None }, |peer| peer.entry.domain == domain).await;
    }
    QuarantineAck
}

/// Tells the peers that are meant, and waits a while for them to know. One that no link is open to yet, as after a start, is
/// connected to for it.
async fn tell_each(router: &Router, news: &QuarantineNews, is_meant: impl Fn(&PeerNode) -> bool) {
    let view = router.cluster.view();
    let meant = view.peers.iter().filter(|peer| is_meant(peer));
    let told = meant.map(|peer| tokio::spawn(tell(peer.clone(), news.clone())));
    let all_told = join_all(told);
    if tokio::time::timeout(KNOWN_WITHIN, all_told).await.is_err() {
        tracing::info!(event = "quarantine_told_late", content = %news.entry.content);
    }
}

async fn tell(peer: Arc<PeerNode>, news: QuarantineNews) {
    let told = peer.link.call::<_, QuarantineAck>(PATH_QUARANTINE, &news, TELL_TIMEOUT).await;
    if let Err(error) = told {
        tracing::info!(event = "quarantine_not_told", peer = %peer.entry.node, content = %news.entry.content, %error);
    }
}
