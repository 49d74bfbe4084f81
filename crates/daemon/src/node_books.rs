//! The books of tickets a node holds: its own, and those of nodes that stopped.

use std::sync::{Arc, PoisonError};

use streamfold_policy::Moment;

use crate::node::Node;
use crate::tickets::{OrderTicket, TicketBook};
use crate::wire::TicketHandover;

/// A book of tickets, the node's own or one taken over.
pub enum BookRef {
    /// The own one.
    Own(Arc<Node>),
    /// One taken over.
    Adopted(Arc<TicketBook>),
}

impl std::ops::Deref for BookRef {
    type Target = TicketBook;

    fn deref(&self) -> &TicketBook {
        match self {
            Self::Own(node) => &node.own_book,
            Self::Adopted(book) => book,
        }
    }
}

impl Node {
    pub(crate) fn books(&self) -> Vec<Arc<TicketBook>> {
        self.adopted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Forgets what tickets that were taken over need no more.
    pub(crate) fn sweep_books(&self, now: Moment) {
        let mut adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        adopted.retain(|book| !book.is_over(now));
        for book in adopted.iter() {
            book.sweep(now);
        }
    }

    /// Takes over tickets of a stopping node.
    pub fn adopt(&self, books: Vec<TicketHandover>) {
        let now = self.clock.now();
        let mut adopted = self.adopted.lock().unwrap_or_else(PoisonError::into_inner);
        for book in books {
            tracing::info!(event = "tickets_taken_over", from = %book.node, incarnation = %book.incarnation, used = book.used.len());
            adopted.push(Arc::new(TicketBook::adopt(book, self.settings.ticket_life, now)));
        }
    }

    /// The book that a ticket belongs to, own or taken over.
    pub fn find_book(self: &Arc<Self>, ticket: &OrderTicket) -> Option<BookRef> {
        if self.own_book.is_own(ticket) {
            return Some(BookRef::Own(self.clone()));
        }
        self.books().into_iter().find(|book| book.is_own(ticket)).map(BookRef::Adopted)
    }
}
