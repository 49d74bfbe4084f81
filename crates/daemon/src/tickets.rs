//! Tickets: idempotency keys that a node mints. Only the incarnation that minted a ticket, or the one that took it over
//! in a graceful stop, runs its order, so nodes need no consensus.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use streamfold_model::{CallerName, Incarnation, NodeId};
use streamfold_policy::Moment;

use crate::outcomes::{KeyUse, OutcomeTable};
use crate::wire::{OrderReply, TicketHandover};

/// Prefix of every ticket. A caller's key with this prefix is treated as a ticket.
pub const TICKET_PREFIX: &str = "t1.";
/// Length of the truncated MAC in a ticket, in bytes.
const MAC_LEN: usize = 16;
/// Maximum number of used tickets that a table remembers, to bound its memory.
const MAX_USED_TICKETS: usize = 200_000;

/// A parsed ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTicket {
    /// The node that minted it.
    pub node: NodeId,
    /// The run of that node.
    pub incarnation: Incarnation,
    /// Sequence number within the run.
    pub sequence: u64,
    /// When it expires, in milliseconds since the run started.
    pub expires_ms: u64,
    mac: [u8; MAC_LEN],
}

/// The text is not a ticket.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("not a ticket")]
pub struct ParseTicketError;

impl FromStr for OrderTicket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let rest = text.strip_prefix(TICKET_PREFIX).ok_or(ParseTicketError)?;
        let mut parts = rest.rsplitn(5, '.');
        let mut next = || parts.next().ok_or(ParseTicketError);
        let mut mac = [0; MAC_LEN];
        hex::decode_to_slice(next()?, &mut mac).map_err(|_| ParseTicketError)?;
        let expires_ms = next()?.parse().map_err(|_| ParseTicketError)?;
        let sequence = next()?.parse().map_err(|_| ParseTicketError)?;
        let incarnation = next()?.parse().map_err(|_| ParseTicketError)?;
        let node = next()?.parse().map_err(|_| ParseTicketError)?;
        Ok(Self { node, incarnation, sequence, expires_ms, mac })
    }
}

impl fmt::Display for OrderTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mac = hex::encode(self.mac);
        write!(f, "{TICKET_PREFIX}{}.{}.{}.{}.{mac}", self.node, self.incarnation, self.sequence, self.expires_ms)
    }
}

/// Why a ticket may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// It is forged or of another caller. No order has run under it.
    Forged,
    /// It has expired, and an outcome is no longer remembered.
    Expired,
}

/// The tickets of one run of a node, with the outcomes of the used ones.
pub struct TicketTable {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
    lifetime: Duration,
    started: Moment,
    adopted_at: Moment,
    hops: u32,
    next_sequence: AtomicU64,
    used: OutcomeTable<u64>,
}

impl TicketTable {
    /// Creates the table of a new run.
    pub fn new(node: NodeId, incarnation: Incarnation, lifetime: Duration, now: Moment) -> Self {
        let used = OutcomeTable::new(lifetime * 2, MAX_USED_TICKETS);
        Self {
            node,
            incarnation,
            secret: rand::random(),
            lifetime,
            started: now,
            adopted_at: now,
            hops: 0,
            next_sequence: AtomicU64::new(1),
            used,
        }
    }

    /// Creates the table of another run, taken over in its graceful stop.
    pub fn adopt(handover: TicketHandover, lifetime: Duration, now: Moment) -> Self {
        let used = OutcomeTable::new(lifetime * 2, MAX_USED_TICKETS);
        for (sequence, reply) in handover.used {
            used.adopt(now, sequence, reply);
        }
        let started = Moment(now.0.saturating_sub(handover.elapsed_ms.saturating_mul(1000)));
        let (node, incarnation, secret) = (handover.node, handover.incarnation, handover.secret);
        Self {
            node,
            incarnation,
            secret,
            lifetime,
            started,
            adopted_at: now,
            hops: handover.hops,
            next_sequence: AtomicU64::new(u64::MAX),
            used,
        }
    }

    fn mac(&self, sequence: u64, expires_ms: u64, caller: &CallerName) -> Hmac<Sha256> {
        let text = format!("{}|{}|{sequence}|{expires_ms}|{caller}", self.node, self.incarnation);
        // HMAC accepts keys of any length, so this cannot fail.
        #[allow(clippy::unwrap_used)]
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).unwrap();
        mac.update(text.as_bytes());
        mac
    }

    /// Mints a ticket for a caller.
    pub fn mint(&self, now: Moment, caller: &CallerName) -> OrderTicket {
        let sequence = self.next_sequence.fetch_add(1, Ordering::Relaxed);
        let expires = now.since(self.started) + self.lifetime;
        let expires_ms = u64::try_from(expires.as_millis()).unwrap_or(u64::MAX);
        let full = self.mac(sequence, expires_ms, caller).finalize().into_bytes();
        let mut mac = [0; MAC_LEN];
        mac.copy_from_slice(&full[..MAC_LEN]);
        OrderTicket { node: self.node.clone(), incarnation: self.incarnation, sequence, expires_ms, mac }
    }

    /// Whether the ticket is of this table's run.
    pub fn is_own(&self, ticket: &OrderTicket) -> bool {
        ticket.node == self.node && ticket.incarnation == self.incarnation
    }

    /// Marks a ticket as used, or returns the outcome of its earlier use.
    ///
    /// # Errors
    /// The ticket is forged or of another caller, or it has expired and is not remembered.
    pub fn begin(&self, now: Moment, ticket: &OrderTicket, caller: &CallerName) -> Result<KeyUse, TicketError> {
        let mac = self.mac(ticket.sequence, ticket.expires_ms, caller);
        if !self.is_own(ticket) || mac.verify_truncated_left(&ticket.mac).is_err() {
            return Err(TicketError::Forged);
        }
        if let Some(outcome) = self.used.find(&ticket.sequence) {
            return Ok(KeyUse::Wait(outcome));
        }
        if now.since(self.started).as_millis() > u128::from(ticket.expires_ms) {
            return Err(TicketError::Expired);
        }
        Ok(self.used.begin(now, ticket.sequence))
    }

    /// Whether all tickets of a table that was taken over have expired, with their outcomes.
    pub fn is_over(&self, now: Moment) -> bool {
        now.since(self.adopted_at) > self.lifetime * 3
    }

    /// Removes the outcomes of expired tickets.
    pub fn sweep(&self, now: Moment) {
        self.used.sweep(now);
    }

    /// The state that another node needs to take over these tickets. No order may be running under them any more.
    pub fn hand_over(&self, now: Moment) -> TicketHandover {
        let used: Vec<(u64, OrderReply)> = self.used.export();
        let elapsed_ms = u64::try_from(now.since(self.started).as_millis()).unwrap_or(u64::MAX);
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        TicketHandover { node, incarnation, secret: self.secret, hops: self.hops + 1, elapsed_ms, used }
    }
}
