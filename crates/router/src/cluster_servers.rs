//! Updates of servers in the cluster state. They come from several sources, of which some may be behind others.

use streamfold_model::{ServerEntry, ServerId, ServerStart};
use streamfold_policy::Moment;
use streamfold_policy::departure::find_remaining_use;

use crate::cluster::{Cluster, UpdateContext};
use crate::cluster_parts::ClusterParts;
use crate::interface::RemovedEntry;
use crate::server::Server;

impl Cluster {
    /// Adds or updates a server. Servers of the first listing are not logged one by one, since thousands of lines would
    /// displace all others from the log's buffer.
    pub(crate) fn put_server(&self, entry: &ServerEntry, is_first: bool, context: &UpdateContext) -> bool {
        let now = context.now;
        let mut parts = self.parts();
        if parts.is_known_gone(entry, context.position) {
            tracing::info!(event = "stale_entry", server = %entry.id, source = %context.origin);
            return false;
        }
        if let Some(server) = parts.servers.get(&entry.id).filter(|server| is_older_run(entry, server)) {
            if server.revision() < entry.revision {
                parts.older_entries.note(entry, now);
            }
            return false;
        }
        parts.doubtful.remove(&entry.id);
        parts.older_entries.remove(&entry.id);
        parts.retire_previous_run(entry);
        if let Some(server) = parts.servers.get(&entry.id) {
            server.note_entry(entry.revision);
            if !entry.warmup.is_zero() && server.state().warmup_left(now).is_zero() {
                tracing::info!(event = "server_cold", server = %entry.id, left_ms = entry.warmup.as_millis() as u64);
            }
            server.state().record_warmup(now, entry.warmup);
            if !entry.is_draining || server.is_leaving() {
                return false;
            }
            tracing::info!(event = "server_leaving", server = %entry.id, service = %entry.service);
            server.mark_leaving();
            return true;
        }
        if !is_first {
            tracing::info!(
                event = "server_seen",
                server = %entry.id,
                service = %entry.service,
                address = %entry.address,
                start = %entry.start,
                draining = entry.is_draining
            );
        }
        self.add_server(&mut parts, entry, now);
        true
    }

    fn add_server(&self, parts: &mut ClusterParts, entry: &ServerEntry, now: Moment) {
        let shared = parts.server_shared(&entry.domain, self.context());
        let server = Server::new(entry, shared, now);
        parts.servers.insert(entry.id.clone(), server);
        parts.budgets.entry(entry.service.clone()).or_default();
    }

    /// Takes the entries of older runs that have stood in the store for long; returns whether there are any.
    pub(crate) fn take_older_entries(&self, parts: &mut ClusterParts, now: Moment) -> bool {
        let entries = parts.older_entries.take_standing(now);
        for entry in &entries {
            parts.doubtful.remove(&entry.id);
            parts.retire_previous_run(entry);
            self.add_server(parts, entry, now);
        }
        !entries.is_empty()
    }

    /// Handles the removal of a server's entry; returns whether the server was removed.
    pub(crate) fn remove_server(
        &self,
        parts: &mut ClusterParts,
        removed: &RemovedEntry,
        context: &UpdateContext,
    ) -> bool {
        let Ok(id) = removed.name.parse::<ServerId>() else { return false };
        let Some(server) = parts.servers.get(&id).cloned() else { return false };
        let is_older = removed.start != ServerStart(0) && removed.start < server.start;
        if is_older && !parts.older_entries.has(&id, removed.start) {
            return false;
        }
        if context.position.precedes(server.revision()) {
            // The source does not know the entry yet.
            return false;
        }
        parts.older_entries.remove(&id);
        if server.is_leaving() {
            return parts.remove_server(&id);
        }
        let now = context.now;
        let remaining = find_remaining_use(context.present_age, self.context().drained_within);
        server.note_entry_gone(now.plus(remaining));
        tracing::info!(
            event = "server_doubtful",
            server = %id,
            service = %server.service,
            source = %context.origin,
            present_ms = context.present_age.map(|age| age.as_millis() as u64),
            used_ms = remaining.as_millis() as u64
        );
        if server.has_left(now) {
            return parts.remove_server(&id);
        }
        parts.doubtful.insert(id);
        false
    }
}

/// Whether an entry is that of an older run than the known one, delivered late by a slower path. Once the entry of the
/// known run is gone, an entry that the store took later is the server's: its clock was put back, or the entry with the
/// later start was another writer's.
fn is_older_run(entry: &ServerEntry, known: &Server) -> bool {
    let replaces_gone = known.is_doubtful() && known.revision() < entry.revision;
    entry.start < known.start && !replaces_gone
}
