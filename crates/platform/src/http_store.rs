//! The platform over HTTP: `GET`, `PUT` and `DELETE` of `/objects/{key}` with RFC 9110
//! conditional requests, `GET /objects?prefix=`, a long-poll by `?wait_ms=`, and `GET /vms`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::store::{
    EntityTag, MAX_OBJECT_LEN, ObjectStore, PutCondition, StoreError, StoreFuture, StoredObject, VmEntry, VmList,
};

/// How long a call may take, beyond what it asks the platform to wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest listing read.
const MAX_LISTING_LEN: usize = 64 << 20;

/// A platform reached over HTTP.
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpPlatform {
    /// The platform at an address; nothing is connected yet.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, address }
    }

    async fn call(&self, request: Request<Full<Bytes>>, wait: Duration) -> Result<Response<Bytes>, StoreError> {
        let sent = tokio::time::timeout(wait + CALL_TIMEOUT, self.send(request));
        sent.await.map_err(|_| StoreError::AnswerLost)?
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, StoreError> {
        let sent = self.client.request(request).await;
        let response: Response<Incoming> = sent.map_err(|error| match error.is_connect() {
            true => StoreError::Unreachable,
            false => StoreError::AnswerLost,
        })?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_LISTING_LEN).collect().await;
        let body = body.map_err(|_| StoreError::AnswerLost)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.address))
    }
}

fn build(builder: http::request::Builder, body: Bytes) -> Result<Request<Full<Bytes>>, StoreError> {
    // Keys are made by this project from checked ids, so a request that cannot be built is our own fault.
    builder.body(Full::new(body)).map_err(|_| StoreError::BadStatus(0))
}

fn read_tag(response: &Response<Bytes>) -> Result<EntityTag, StoreError> {
    let tag = response.headers().get(header::ETAG).and_then(|value| value.to_str().ok());
    tag.map(|tag| EntityTag(tag.to_owned())).ok_or(StoreError::BadStatus(response.status().as_u16()))
}

fn fail(status: StatusCode) -> StoreError {
    match status {
        StatusCode::PRECONDITION_FAILED => StoreError::Conflict,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => StoreError::Unavailable(status.as_u16()),
        _ => StoreError::BadStatus(status.as_u16()),
    }
}

fn read_object(response: Response<Bytes>) -> Result<Option<StoredObject>, StoreError> {
    match response.status() {
        StatusCode::OK => Ok(Some(StoredObject { tag: read_tag(&response)?, body: response.into_body() })),
        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
        status => Err(fail(status)),
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(async move {
            let request = build(self.request(Method::GET, &format!("/objects/{key}")), Bytes::new())?;
            read_object(self.call(request, Duration::ZERO).await?)
        })
    }

    fn put<'a>(&'a self, key: &'a str, body: Bytes, condition: PutCondition) -> StoreFuture<'a, EntityTag> {
        Box::pin(async move {
            if body.len() > MAX_OBJECT_LEN {
                return Err(StoreError::TooLarge(body.len()));
            }
            let builder = self.request(Method::PUT, &format!("/objects/{key}"));
            let builder = match condition {
                PutCondition::IfAbsent => builder.header(header::IF_NONE_MATCH, "*"),
                PutCondition::IfMatch(tag) => builder.header(header::IF_MATCH, tag.0),
            };
            let response = self.call(build(builder, body)?, Duration::ZERO).await?;
            match response.status().is_success() {
                true => read_tag(&response),
                false => Err(fail(response.status())),
            }
        })
    }

    fn delete<'a>(&'a self, key: &'a str) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let request = build(self.request(Method::DELETE, &format!("/objects/{key}")), Bytes::new())?;
            let status = self.call(request, Duration::ZERO).await?.status();
            match status.is_success() || status == StatusCode::NOT_FOUND {
                true => Ok(()),
                false => Err(fail(status)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, Vec<String>> {
        Box::pin(async move {
            let request = build(self.request(Method::GET, &format!("/objects?prefix={prefix}")), Bytes::new())?;
            let response = self.call(request, Duration::ZERO).await?;
            let status = response.status();
            if status != StatusCode::OK {
                return Err(fail(status));
            }
            serde_json::from_slice(response.body()).map_err(|_| StoreError::BadStatus(status.as_u16()))
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: Option<EntityTag>,
        wait: Duration,
    ) -> StoreFuture<'a, Option<StoredObject>> {
        Box::pin(async move {
            let path = format!("/objects/{key}?wait_ms={}", wait.as_millis());
            let mut builder = self.request(Method::GET, &path);
            if let Some(tag) = known {
                builder = builder.header(header::IF_NONE_MATCH, tag.0);
            }
            read_object(self.call(build(builder, Bytes::new())?, wait).await?)
        })
    }
}

impl VmList for HttpPlatform {
    fn vms(&self) -> StoreFuture<'_, Vec<VmEntry>> {
        Box::pin(async move {
            let request = build(self.request(Method::GET, "/vms"), Bytes::new())?;
            let response = self.call(request, Duration::ZERO).await?;
            let status = response.status();
            if status != StatusCode::OK {
                return Err(fail(status));
            }
            serde_json::from_slice(response.body()).map_err(|_| StoreError::BadStatus(status.as_u16()))
        })
    }
}
