//! Messages as bincode in length-prefixed frames. The size of every decoded frame is limited.

use bincode::config::{Configuration as BincodeConfig, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use crate::error::PeerError;
use crate::exchange_limit::ExchangeGuard;
use crate::frame_memory::FrameHold;

/// The largest message in a frame, in bytes.
pub const MAX_FRAME_LEN: usize = 64 << 20;

const BINCODE: BincodeConfig<LittleEndian, Varint, Limit<MAX_FRAME_LEN>> =
    bincode::config::standard().with_limit::<MAX_FRAME_LEN>();

/// Encodes a message as one frame: its length as 4 bytes, big-endian, then the message.
///
/// # Errors
/// The message cannot be encoded or is longer than [`MAX_FRAME_LEN`].
pub fn encode_frame<M: Encode>(message: &M) -> Result<Bytes, PeerError> {
    encode_frame_within(message, MAX_FRAME_LEN)
}

/// Encodes a message of at most `limit` bytes as one frame.
///
/// # Errors
/// The message cannot be encoded or is longer than `limit`.
pub fn encode_frame_within<M: Encode>(message: &M, limit: usize) -> Result<Bytes, PeerError> {
    let mut frame = vec![0; 4];
    let length = bincode::encode_into_std_write(message, &mut frame, BINCODE)?;
    if length > limit {
        return Err(PeerError::MessageTooLong(length));
    }
    frame[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(Bytes::from(frame))
}

/// Decodes the body of one frame.
///
/// # Errors
/// The bytes cannot be decoded, or some are left over after the message.
pub fn decode_body<M: Decode<()>>(body: &[u8]) -> Result<M, PeerError> {
    let (message, used) = bincode::decode_from_slice(body, BINCODE)?;
    if used != body.len() {
        return Err(PeerError::FrameTooLong(body.len() - used));
    }
    Ok(message)
}

/// Reads frames from a stream and returns flow-control window for the bytes read.
pub struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
    limit: usize,
    /// The exchange, if what may be read of its connection is limited. The memory of messages is limited then, too.
    exchange: Option<ExchangeGuard>,
    hold: FrameHold,
}

impl FrameReader {
    /// Creates a reader that accepts frames of at most `limit` bytes.
    pub fn new(stream: RecvStream, limit: usize) -> Self {
        Self { stream, buffer: BytesMut::new(), limit, exchange: None, hold: FrameHold::default() }
    }

    /// The same, for an exchange on a connection of which only so much may be read.
    pub fn with_exchange(mut self, exchange: ExchangeGuard) -> Self {
        self.exchange = Some(exchange);
        self.note_data(0);
        self
    }

    fn note_data(&mut self, bytes: usize) {
        let Some(exchange) = &mut self.exchange else { return };
        exchange.note_data(bytes);
        if self.stream.is_end_stream() {
            exchange.finish();
        }
    }

    /// Returns the next message, or `None` if the stream ended after a whole frame.
    ///
    /// # Errors
    /// The stream fails or ends within a frame, or the frame exceeds the limit or is malformed, or there is no memory for
    /// it.
    pub async fn next<M: Decode<()>>(&mut self) -> Result<Option<M>, PeerError> {
        loop {
            if let Some(body) = self.take_frame()? {
                return decode_body(&body).map(Some);
            }
            let Some(data) = self.stream.data().await else {
                return if self.buffer.is_empty() { Ok(None) } else { Err(PeerError::EndedEarly) };
            };
            let data = data.map_err(|error| self.describe(error))?;
            self.note_data(data.len());
            self.hold_memory(data.len())?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }

    /// Takes memory for what is in the buffer and `more` bytes.
    fn hold_memory(&mut self, more: usize) -> Result<(), PeerError> {
        let len = self.buffer.len() + more;
        if self.exchange.is_none() || self.hold.grow(len) {
            return Ok(());
        }
        tracing::warn!(event = "answer_discarded", len, reason = "no_memory");
        Err(PeerError::AnswerTooLong)
    }

    /// Why the stream failed.
    fn describe(&self, error: h2::Error) -> PeerError {
        match &self.exchange {
            Some(exchange) if exchange.is_exceeded() => PeerError::AnswerTooLong,
            _ => PeerError::Stream(error),
        }
    }

    fn take_frame(&mut self) -> Result<Option<BytesMut>, PeerError> {
        let Some(prefix) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.limit {
            return Err(PeerError::FrameTooLong(length));
        }
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        let body = self.buffer.split_to(length);
        self.hold.shrink(self.buffer.len());
        Ok(Some(body))
    }
}

/// Sends one frame and waits for flow-control window where needed; `end` also ends the stream.
///
/// # Errors
/// The stream fails, or the other side resets it.
pub async fn send_frame(stream: &mut SendStream<Bytes>, mut frame: Bytes, end: bool) -> Result<(), PeerError> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let available = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let available = available.ok_or(PeerError::EndedEarly)??;
        let chunk = frame.split_to(available.min(frame.len()));
        let is_last = end && frame.is_empty();
        stream.send_data(chunk, is_last)?;
    }
    Ok(())
}
