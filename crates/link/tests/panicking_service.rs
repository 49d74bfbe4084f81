//! A panic while a message is handled must fail that message only: its sender must not take it for one that was not
//! processed, and the link must serve further messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use h2::RecvStream;
use h2::server::SendResponse;
use streamfold_link::server::{PeerService, read_message, reply, serve};
use streamfold_link::{PeerError, PeerLink};
use tokio::net::TcpListener;

/// Paths whose messages are answered, and whose handler panics once it has read the message.
const PATH_PROMPT: &str = "/prompt";
const PATH_PANIC: &str = "/panic";
/// Timeout of calls, longer than any of them takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

struct PanickingNode;

impl PanickingNode {
    async fn answer(path: &str, body: RecvStream, respond: &mut SendResponse<Bytes>) -> Result<(), PeerError> {
        let number: u64 = read_message(body, 64).await?;
        assert_ne!(path, PATH_PANIC, "handling the message fails");
        reply(respond, &(number + 1)).await
    }
}

impl PeerService for PanickingNode {
    fn serve<'a>(
        &'a self,
        path: &'a str,
        body: RecvStream,
        respond: &'a mut SendResponse<Bytes>,
    ) -> BoxFuture<'a, Result<(), PeerError>> {
        Self::answer(path, body, respond).boxed()
    }

    fn record_malformed(&self, _: &str) {}
}

#[tokio::test]
async fn a_panic_in_a_handler_fails_its_message_only() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = PeerLink::new(listener.local_addr().expect("an address"));
    tokio::spawn(serve(Arc::new(PanickingNode), Arc::new(listener)));
    assert_eq!(link.call::<u64, u64>(PATH_PROMPT, &7, CALL_TIMEOUT).await.expect("an answer"), 8);
    let error = link.call::<u64, u64>(PATH_PANIC, &7, CALL_TIMEOUT).await.expect_err("no answer");
    assert!(!error.is_not_sent(), "{error}");
    assert!(link.is_open());
    assert_eq!(link.call::<u64, u64>(PATH_PROMPT, &8, CALL_TIMEOUT).await.expect("an answer"), 9);
}
