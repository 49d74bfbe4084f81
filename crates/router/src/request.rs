//! A caller's request in the form in which it is forwarded to servers and nodes.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use streamfold_model::{ContentId, ServerId};
use streamfold_policy::Moment;
use streamfold_policy::crash_tracker::CrashSuspect;

use crate::batch::RequestCopy;
use crate::interface::{CallFormat, CallerHead};

/// Hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those named by `Connection`.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// The id of the content of a request. Headers other than the host are left out because they differ between
/// retries of the same request.
fn identify_content(method: &Method, uri: &Uri, headers: &HeaderMap, body: &Bytes) -> ContentId {
    let host = headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    ContentId::of(&[method.as_str().as_bytes(), host, target.as_bytes(), body])
}

/// When a request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestArrival {
    /// When the caller started to wait for the answer.
    pub started: Moment,
    /// When the request was read.
    pub read: Moment,
}

impl RequestArrival {
    /// The arrival of a request whose caller starts to wait when it is read.
    pub fn at(now: Moment) -> Self {
        Self { started: now, read: now }
    }
}

/// When a request times out: after the time that its caller waits, but at most `limit`.
pub(crate) fn find_deadline(head: &CallerHead, arrival: RequestArrival, limit: Duration) -> Moment {
    let timeout = head.deadline.map_or(limit, |deadline| deadline.min(limit));
    arrival.started.plus(timeout)
}

/// A request with its complete body, ready to be sent to any number of servers.
#[derive(Debug)]
pub struct CallerRequest {
    /// The request id.
    pub id: HeaderValue,
    /// When the caller started to wait for the answer.
    pub started: Moment,
    /// When the request was read.
    pub read: Moment,
    /// When the request times out.
    pub deadline: Moment,
    /// Identifies the request content, in case a server crashes on it.
    pub suspect: CrashSuspect,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl CallerRequest {
    /// Creates a request whose body was read completely. `limit` is the longest timeout; `is_single_service` tells
    /// that it goes to a single service.
    pub fn new(
        head: CallerHead,
        parts: http::request::Parts,
        body: Bytes,
        arrival: RequestArrival,
        limit: Duration,
        is_single_service: bool,
    ) -> CallerRequest {
        let mut headers = parts.headers;
        drop_hop_headers(&mut headers);
        // The body was read completely, so its length is known and `Expect` was already answered.
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let deadline = find_deadline(&head, arrival, limit);
        let content = identify_content(&parts.method, &parts.uri, &headers, &body);
        Self {
            suspect: CrashSuspect { content, is_single_service },
            id: head.request,
            started: arrival.started,
            read: arrival.read,
            deadline,
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
        }
    }

    /// The request as it is sent to another node.
    pub fn copy(&self) -> RequestCopy {
        let headers = self.headers.iter().map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
        RequestCopy {
            id: self.id.as_bytes().to_vec(),
            method: self.method.as_str().to_owned(),
            uri: self.uri.to_string(),
            headers: headers.collect(),
            body: self.body.to_vec(),
        }
    }

    /// The request id for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("not-text")
    }

    /// The request as it is sent to one server, with `left` of its time remaining.
    pub fn build(&self, format: &dyn CallFormat, server: &ServerId, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        format.write_call(request.headers_mut(), server, left);
        request
    }
}
