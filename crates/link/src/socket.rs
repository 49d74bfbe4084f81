//! Options of connections to machines that may vanish without a word.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// A path that acknowledges nothing for so long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// A peer that is silent for so long is probed, again after as long, and given up after two
/// probes without an answer: three seconds in all.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Sends small messages at once and finds a peer that vanished.
///
/// # Errors
/// The system refuses an option.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
