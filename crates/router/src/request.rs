//! A caller's request as it is passed on.

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

/// Headers that concern one connection only.
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

/// Removes the headers that concern one connection only, those that `Connection` names too.
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

/// The id of what a request asks for. Its headers are left out but for the host: they differ from one
/// attempt of a caller to the next.
fn identify(method: &Method, uri: &Uri, headers: &HeaderMap, body: &Bytes) -> ContentId {
    let host = headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    ContentId::of(&[method.as_str().as_bytes(), host, target.as_bytes(), body])
}

/// When a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestArrival {
    /// When its caller began to wait for the answer.
    pub begun: Moment,
    /// When it was read.
    pub read: Moment,
}

impl RequestArrival {
    /// That of a request whose caller began to wait when it was read.
    pub fn at(now: Moment) -> Self {
        Self { begun: now, read: now }
    }
}

/// A request with its whole body, ready to be sent to any number of servers.
#[derive(Debug)]
pub struct CallerRequest {
    /// Its id.
    pub id: HeaderValue,
    /// When its caller began to wait for the answer.
    pub started: Moment,
    /// When it was read.
    pub read: Moment,
    /// When it is given up.
    pub deadline: Moment,
    /// What it asks for, should a server end under it.
    pub suspect: CrashSuspect,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl CallerRequest {
    /// A request read whole; `limit` is the longest it may be held, `is_lone` tells that it goes to a single
    /// service.
    pub fn new(
        head: CallerHead,
        parts: http::request::Parts,
        body: Bytes,
        arrival: RequestArrival,
        limit: Duration,
        is_lone: bool,
    ) -> CallerRequest {
        let mut headers = parts.headers;
        drop_hop_headers(&mut headers);
        // The body is whole, so its length is known and nobody waits to be asked for it.
        headers.remove(CONTENT_LENGTH);
        headers.remove(EXPECT);
        let held = head.deadline.map_or(limit, |deadline| deadline.min(limit));
        let content = identify(&parts.method, &parts.uri, &headers, &body);
        Self {
            suspect: CrashSuspect { content, is_single_service: is_lone },
            id: head.request,
            started: arrival.begun,
            read: arrival.read,
            deadline: arrival.begun.plus(held),
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
        }
    }

    /// The request as another node gets it.
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

    /// The id for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("not-text")
    }

    /// The request as one server gets it.
    pub fn build(&self, format: &dyn CallFormat, server: &ServerId, left: Duration) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        format.write_call(request.headers_mut(), server, left);
        request
    }
}
