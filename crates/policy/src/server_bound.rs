//! Bound on the number of servers of a service that one request is sent to, when several nodes send it.
//!
//! The load pattern: servers are slow or silent, and so is the node to which their shards were delegated. That node has
//! sent its hedges; the delegating node gets no answer and must go on. Neither may rely on seeing the same servers as
//! the other, since the server list changes while a request runs. The permission to use every server but one is
//! therefore delegated with the work, and the server that both may use is named: it is reserved.

/// The servers of a service to which one of the nodes of a request may send it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendPermission<S> {
    /// Any server: no other node sends the request.
    Any,
    /// The request was delegated to this node: any server, but one of the allowed servers is set aside for the reserved
    /// server, which the delegating node may use as well.
    Delegated {
        /// The reserved server; `None` if the delegating node has not reserved one.
        reserved: Option<S>,
    },
    /// The request was delegated to another node, which may still send it to any server: only the reserved server.
    Reserved(S),
    /// The request was delegated to another node, and no server was reserved.
    NoServer,
}

impl<S: PartialEq> SendPermission<S> {
    /// Whether the request may go to `server`. `used` are the servers that may have run it by calls of this node, and
    /// `max_servers` is the number of servers on which it may run.
    pub fn allow<'a>(&self, server: &S, used: impl Iterator<Item = &'a S>, max_servers: usize) -> bool
    where
        S: 'a,
    {
        let others = used.filter(|used| *used != server);
        match self {
            Self::Any | Self::Delegated { reserved: None } => others.count() < max_servers,
            Self::Delegated { reserved: Some(reserved) } if reserved == server => others.count() < max_servers,
            Self::Delegated { reserved: Some(reserved) } => {
                others.filter(|used| *used != reserved).count() + 1 < max_servers
            }
            Self::Reserved(reserved) => reserved == server && max_servers > 0,
            Self::NoServer => false,
        }
    }
}
