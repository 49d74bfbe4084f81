//! Tickets: keys minted by a node in its own name. Only the run that minted one, or the one
//! it was handed to in a planned stop, may ever run it, so no two nodes need to agree.

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

/// How a ticket begins; callers' own keys may not.
pub const TICKET_PREFIX: &str = "t1.";
/// Bytes of the MAC kept in a ticket.
const MAC_LEN: usize = 16;
/// Tickets remembered at most, so that memory is bounded.
const MAX_USED_TICKETS: usize = 200_000;

/// A ticket taken apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTicket {
    /// The node that minted it.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its number within the run.
    pub sequence: u64,
    /// When it expires, in milliseconds since the run started.
    pub expires_ms: u64,
    mac: [u8; MAC_LEN],
}

/// Why a text is not a ticket.
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
    /// It is forged or another caller's: under it nothing ever ran.
    Forged,
    /// It has expired and its outcome, if any, is forgotten.
    Expired,
}

/// The tickets of one run of one node.
pub struct TicketTable {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
    life: Duration,
    started: Moment,
    taken: Moment,
    hops: u32,
    next: AtomicU64,
    used: OutcomeTable<u64>,
}

impl TicketTable {
    /// The book of a new run.
    pub fn new(node: NodeId, incarnation: Incarnation, life: Duration, now: Moment) -> Self {
        let used = OutcomeTable::new(life * 2, MAX_USED_TICKETS);
        Self {
            node,
            incarnation,
            secret: rand::random(),
            life,
            started: now,
            taken: now,
            hops: 0,
            next: AtomicU64::new(1),
            used,
        }
    }

    /// The book of another run, taken over in its planned stop.
    pub fn adopt(handover: TicketHandover, life: Duration, now: Moment) -> Self {
        let used = OutcomeTable::new(life * 2, MAX_USED_TICKETS);
        for (sequence, reply) in handover.used {
            used.adopt(now, sequence, reply);
        }
        let started = Moment(now.0.saturating_sub(handover.elapsed_ms.saturating_mul(1000)));
        let (node, incarnation, secret) = (handover.node, handover.incarnation, handover.secret);
        Self {
            node,
            incarnation,
            secret,
            life,
            started,
            taken: now,
            hops: handover.hops,
            next: AtomicU64::new(u64::MAX),
            used,
        }
    }

    fn mac(&self, sequence: u64, expires_ms: u64, caller: &CallerName) -> Hmac<Sha256> {
        let text = format!("{}|{}|{sequence}|{expires_ms}|{caller}", self.node, self.incarnation);
        // HMAC takes a key of any length, so this cannot fail.
        #[allow(clippy::unwrap_used)]
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).unwrap();
        mac.update(text.as_bytes());
        mac
    }

    /// Mints a ticket for a caller.
    pub fn mint(&self, now: Moment, caller: &CallerName) -> OrderTicket {
        let sequence = self.next.fetch_add(1, Ordering::Relaxed);
        let expires = now.since(self.started) + self.life;
        let expires_ms = u64::try_from(expires.as_millis()).unwrap_or(u64::MAX);
        let full = self.mac(sequence, expires_ms, caller).finalize().into_bytes();
        let mut mac = [0; MAC_LEN];
        mac.copy_from_slice(&full[..MAC_LEN]);
        OrderTicket { node: self.node.clone(), incarnation: self.incarnation, sequence, expires_ms, mac }
    }

    /// Whether the ticket is of this book.
    pub fn is_own(&self, ticket: &OrderTicket) -> bool {
        ticket.node == self.node && ticket.incarnation == self.incarnation
    }

    /// Begins the use of a ticket, or finds its earlier use.
    ///
    /// # Errors
    /// The ticket is forged, another caller's, or expired and not remembered.
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

    /// Whether a book that was taken over has nothing left to answer for.
    pub fn is_over(&self, now: Moment) -> bool {
        now.since(self.taken) > self.life * 3
    }

    /// Forgets tickets that have expired.
    pub fn sweep(&self, now: Moment) {
        self.used.sweep(now);
    }

    /// Everything another node needs to answer for these tickets. The caller of this must
    /// have made sure that none of them runs here any more.
    pub fn hand_over(&self, now: Moment) -> TicketHandover {
        let used: Vec<(u64, OrderReply)> = self.used.export();
        let elapsed_ms = u64::try_from(now.since(self.started).as_millis()).unwrap_or(u64::MAX);
        let (node, incarnation) = (self.node.clone(), self.incarnation);
        TicketHandover { node, incarnation, secret: self.secret, hops: self.hops + 1, elapsed_ms, used }
    }
}
