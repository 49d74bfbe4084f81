//! Links between nodes: bincode in length-prefixed frames on `h2` streams, whatever the
//! messages are.

pub mod error;
pub mod frame;
pub mod link;
pub mod server;
pub mod socket;

pub use error::PeerError;
pub use frame::{FrameReader, MAX_FRAME, decode_body, encode_frame, send_frame};
pub use link::{PEER_FRAME, PEER_WINDOW, PeerLink};
pub use server::{PeerService, read_message, refuse, reply};
