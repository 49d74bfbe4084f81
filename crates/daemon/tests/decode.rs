//! Decoders take any bytes without harm, and what was written is read back.

use quickcheck::quickcheck;
use std::time::Duration;
use streamfold_daemon::round::remove_pending;
use streamfold_daemon::tickets::{OrderTicket, TicketError, TicketTable};
use streamfold_daemon::wire::{AdoptRequest, BatchRequest, ConfigReply, GossipMessage, OrderRequest, PieceReply};
use streamfold_link::{decode_body, encode_frame};
use streamfold_model::{Incarnation, MissingReason, RequestId, ShardId};
use streamfold_policy::Moment;

fn book() -> TicketTable {
    let node = "vienna-1.a".parse().expect("an id");
    TicketTable::new(node, Incarnation(17), Duration::from_secs(60), Moment(0))
}

quickcheck! {
    fn any_bytes_decode_or_fail(bytes: Vec<u8>) -> bool {
        // Each of these may fail; none may panic or allocate beyond its bound.
        let _ = decode_body::<BatchRequest>(&bytes);
        let _ = decode_body::<PieceReply>(&bytes);
        let _ = decode_body::<OrderRequest>(&bytes);
        let _ = decode_body::<GossipMessage>(&bytes);
        let _ = decode_body::<AdoptRequest>(&bytes);
        decode_body::<ConfigReply>(&bytes).is_err() || !bytes.is_empty()
    }

    fn a_batch_is_read_back_and_no_part_of_it_is(request: u128, body: Vec<u8>, cut: usize) -> bool {
        let batch = BatchRequest {
            request: RequestId(request),
            remaining_us: 5,
            index: "carts".parse().expect("a name"),
            version: None,
            repeatable: true,
            key: None,
            body: body.clone(),
            pieces: Vec::new(),
        };
        let frame = encode_frame(&batch).expect("a frame");
        let whole: BatchRequest = decode_body(&frame[4..]).expect("a batch");
        let cut = 4 + cut % (frame.len() - 4);
        whole.body == body && whole.request.0 == request && decode_body::<BatchRequest>(&frame[4..cut]).is_err()
    }

    /// However an owner replies, each piece of its batch is taken once and no other ever.
    fn a_piece_is_replied_to_once(count: u8, replies: Vec<u8>) -> bool {
        let mut open: Vec<u32> = (0..u32::from(count)).collect();
        let mut taken: Vec<u32> = replies.into_iter().map(u32::from).filter(|piece| remove_pending(&mut open, *piece)).collect();
        let all = taken.len() + open.len() == usize::from(count);
        taken.sort_unstable();
        let once = taken.windows(2).all(|pair| pair[0] != pair[1]);
        all && once && taken.iter().all(|piece| *piece < u32::from(count))
    }

    fn any_text_is_a_ticket_or_not(text: String) -> bool {
        text.parse::<OrderTicket>().map_or(true, |ticket| ticket.to_string().len() <= text.len())
    }

    fn a_changed_ticket_is_forged(position: usize, change: u8) -> bool {
        let book = book();
        let caller = "depot".parse().expect("a name");
        let text = book.mint(Moment(1), &caller).to_string();
        let mut bytes = text.clone().into_bytes();
        let position = position % bytes.len();
        bytes[position] = b"0123456789abcdef"[usize::from(change % 16)];
        let changed = String::from_utf8(bytes).expect("text");
        match changed.parse::<OrderTicket>() {
            Ok(ticket) if ticket.to_string() != text => {
                matches!(book.begin(Moment(2), &ticket, &caller), Err(TicketError::Forged))
            }
            _ => true,
        }
    }
}

#[test]
fn a_reply_is_read_back() {
    let reply = PieceReply::lost(3, streamfold_model::AttemptOutcome::Refused, MissingReason::Shed);
    let mut reply = reply;
    reply.result = Ok(vec![(ShardId(4), b"{}".to_vec())]);
    let frame = encode_frame(&reply).expect("a frame");
    let read: PieceReply = decode_body(&frame[4..]).expect("a reply");
    assert_eq!((read.piece, read.result), (3, Ok(vec![(ShardId(4), b"{}".to_vec())])));
}

#[test]
fn a_ticket_is_its_callers_alone_and_expires_as_unknown() {
    let book = book();
    let caller = "depot".parse().expect("a name");
    let other = "driver".parse().expect("a name");
    let ticket = book.mint(Moment(0), &caller);
    let read: OrderTicket = ticket.to_string().parse().expect("a ticket");
    assert_eq!(read, ticket);
    assert!(matches!(book.begin(Moment(1), &ticket, &other), Err(TicketError::Forged)));
    let late = Moment(0).plus(Duration::from_secs(61));
    assert!(matches!(book.begin(late, &ticket, &caller), Err(TicketError::Expired)));
    assert!(book.begin(Moment(1), &ticket, &caller).is_ok());
    assert!(book.begin(late, &ticket, &caller).is_ok(), "a ticket that was used is remembered past its expiry");
}
