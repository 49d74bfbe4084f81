//! Transport between nodes: any bincode message in length-prefixed frames on HTTP/2 streams.

pub mod counted_stream;
pub mod error;
pub mod exchange_limit;
pub mod frame;
pub mod frame_memory;
pub mod link;
pub mod read_limit;
pub mod server;
pub mod socket;

pub use error::PeerError;
pub use frame::{FrameReader, MAX_FRAME_LEN, decode_body, encode_frame, send_frame};
pub use link::{PEER_HTTP2_FRAME_SIZE, PEER_WINDOW_SIZE, PeerLink};
pub use server::{PeerService, read_message, refuse, reply};
