//! How many servers of a service one request may be sent to, where several nodes send it.
//!
//! The load pattern: servers are slow or silent, and so is the node that was asked for their
//! shards. It has sent its second calls; the asking node hears nothing and must go on. Neither may
//! rely on seeing the same servers as the other, since entries change while a request runs. So the
//! right to every server but one goes with the work, and the one that both may use is named.

/// Which servers of a service one of the nodes of a request may send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendPermission<S> {
    /// Any: no other node sends it.
    Any,
    /// This node was asked: any, but a place is kept for the server that the asking node may use
    /// as well.
    Delegated {
        /// That server; none if the asking node keeps no place.
        reserved: Option<S>,
    },
    /// Another node was asked and may still send it to any: only to the server kept.
    Reserved(S),
    /// Another node was asked and no server was kept.
    NoServer,
}

impl<S: PartialEq> SendPermission<S> {
    /// Whether it may go to a server, where `used` are the servers that may have run it by calls of
    /// this node, and it may run on `most`.
    pub fn allow<'a>(&self, server: &S, used: impl Iterator<Item = &'a S>, most: usize) -> bool
    where
        S: 'a,
    {
        let others = used.filter(|used| *used != server);
        match self {
            Self::Any | Self::Delegated { reserved: None } => others.count() < most,
            Self::Delegated { reserved: Some(reserved) } if reserved == server => others.count() < most,
            Self::Delegated { reserved: Some(reserved) } => others.filter(|used| *used != reserved).count() + 1 < most,
            Self::Reserved(reserved) => reserved == server && most > 0,
            Self::NoServer => false,
        }
    }
}
