//! Decoders of messages and tickets: arbitrary input is rejected without a panic, and encoded values decode to the same
//! value.

use quickcheck::quickcheck;
use std::time::Duration;
use streamfold_daemon::round::remove_pending;
use streamfold_daemon::tickets::{OrderTicket, TicketError, TicketTable};
use streamfold_daemon::wire::{AdoptRequest, BatchRequest, ConfigReply, GossipMessage, OrderRequest, PieceReply};
use streamfold_link::{decode_body, encode_frame};
use streamfold_model::{Incarnation, MissingReason, RequestId, ShardId};
use streamfold_policy::Moment;

fn table() -> TicketTable {
    let node = "vienna-1.a".parse().expect("an id");
    TicketTable::new(node, Incarnation(17), Duration::from_secs(60), Moment(0))
}

quickcheck! {
    fn any_bytes_decode_or_fail(bytes: Vec<u8>) -> bool {
        // Each decoder may fail, but must not panic or allocate more than its limit.
        let _ = decode_body::<BatchRequest>(&bytes);
        let _ = decode_body::<PieceReply>(&bytes);
        let _ = decode_body::<OrderRequest>(&bytes);
        let _ = decode_body::<GossipMessage>(&bytes);
        let _ = decode_body::<AdoptRequest>(&bytes);
        decode_body::<ConfigReply>(&bytes).is_err() || !bytes.is_empty()
    }

    fn a_batch_is_decoded_only_from_its_whole_frame(request: u128, body: Vec<u8>, cut: usize) -> bool {
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

    /// Whatever an owner replies, each piece of its batch accepts one reply and other pieces accept none.
    fn each_piece_of_a_batch_accepts_one_reply(count: u8, replies: Vec<u8>) -> bool {
        let mut pending: Vec<u32> = (0..u32::from(count)).collect();
        let mut removed: Vec<u32> = replies.into_iter().map(u32::from).filter(|piece| remove_pending(&mut pending, *piece)).collect();
        let is_complete = removed.len() + pending.len() == usize::from(count);
        removed.sort_unstable();
        let is_unique = removed.windows(2).all(|pair| pair[0] != pair[1]);
        is_complete && is_unique && removed.iter().all(|piece| *piece < u32::from(count))
    }

    fn any_text_parses_or_fails_as_a_ticket(text: String) -> bool {
        text.parse::<OrderTicket>().map_or(true, |ticket| ticket.to_string().len() <= text.len())
    }

    fn a_modified_ticket_is_rejected_as_forged(position: usize, change: u8) -> bool {
        let table = table();
        let caller = "depot".parse().expect("a name");
        let text = table.mint(Moment(1), &caller).to_string();
        let mut bytes = text.clone().into_bytes();
        let position = position % bytes.len();
        bytes[position] = b"0123456789abcdef"[usize::from(change % 16)];
        let changed = String::from_utf8(bytes).expect("text");
        match changed.parse::<OrderTicket>() {
            Ok(ticket) if ticket.to_string() != text => {
                matches!(table.begin(Moment(2), &ticket, &caller), Err(TicketError::Forged))
            }
            _ => true,
        }
    }
}

#[test]
fn an_encoded_reply_decodes_to_the_same_value() {
    let reply = PieceReply::lost(3, streamfold_model::AttemptOutcome::Refused, MissingReason::Shed);
    let mut reply = reply;
    reply.result = Ok(vec![(ShardId(4), b"{}".to_vec())]);
    let frame = encode_frame(&reply).expect("a frame");
    let read: PieceReply = decode_body(&frame[4..]).expect("a reply");
    assert_eq!((read.piece, read.result), (3, Ok(vec![(ShardId(4), b"{}".to_vec())])));
}

#[test]
fn a_ticket_is_valid_only_for_its_caller_and_until_it_expires() {
    let table = table();
    let caller = "depot".parse().expect("a name");
    let other_caller = "driver".parse().expect("a name");
    let ticket = table.mint(Moment(0), &caller);
    let read: OrderTicket = ticket.to_string().parse().expect("a ticket");
    assert_eq!(read, ticket);
    assert!(matches!(table.begin(Moment(1), &ticket, &other_caller), Err(TicketError::Forged)));
    let late = Moment(0).plus(Duration::from_secs(61));
    assert!(matches!(table.begin(late, &ticket, &caller), Err(TicketError::Expired)));
    assert!(table.begin(Moment(1), &ticket, &caller).is_ok());
    assert!(table.begin(late, &ticket, &caller).is_ok(), "the outcome of a used ticket is remembered after its expiry");
}
