//! The ticket tables of a node: its own, and those taken over from nodes that stopped.

use std::sync::{Arc, PoisonError};

use streamfold_policy::Moment;

use crate::node::Node;
use crate::tickets::{OrderTicket, TicketTable};
use crate::wire::TicketHandover;

/// A ticket table, the node's own or one taken over.
pub enum TableRef {
    /// The node's own table.
    Own(Arc<Node>),
    /// A table taken over from another node.
    Adopted(Arc<TicketTable>),
}

impl std::ops::Deref for TableRef {
    type Target = TicketTable;

    fn deref(&self) -> &TicketTable {
        match self {
            Self::Own(node) => &node.own_tickets,
            Self::Adopted(table) => table,
        }
    }
}

impl Node {
    pub(crate) fn adopted_tables(&self) -> Vec<Arc<TicketTable>> {
        self.adopted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Removes expired tickets from the tables that were taken over, and tables whose tickets have all expired.
    pub(crate) fn sweep_adopted(&self, now: Moment) {
        let mut adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        adopted.retain(|table| !table.is_over(now));
        for table in adopted.iter() {
            table.sweep(now);
        }
    }

    /// Takes over the tickets of a stopping node.
    pub fn adopt(&self, handovers: Vec<TicketHandover>) {
        let now = self.clock.now();
        let mut adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        for handover in handovers {
            tracing::info!(event = "tickets_taken_over", from = %handover.node, incarnation = %handover.incarnation, used = handover.used.len());
            adopted.push(Arc::new(TicketTable::adopt(handover, self.settings.ticket_life, now)));
        }
    }

    /// Finds the table that a ticket belongs to, the own one or one taken over.
    pub fn find_ticket_table(self: &Arc<Self>, ticket: &OrderTicket) -> Option<TableRef> {
        if self.own_tickets.is_own(ticket) {
            return Some(TableRef::Own(self.clone()));
        }
        self.adopted_tables().into_iter().find(|table| table.is_own(ticket)).map(TableRef::Adopted)
    }
}
