//! Requests and answers of the stand-ins' HTTP ports.

use bytes::Bytes;
use futures::stream;
use http::{StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::response::Response;

/// Largest body of a request to a stand-in's own calls, in bytes.
const MAX_CALL_BYTES: usize = 64 * 1024;

/// Creates an answer without a body.
pub fn empty(status: StatusCode) -> Response {
    with_body(status, Body::empty())
}

/// Creates an answer that holds a value as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut response = with_body(status, Body::from(text));
            let plain = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, plain);
            response
        }
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Creates an answer.
pub fn with_body(status: StatusCode, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Creates an answer that is never sent: the connection is closed in its place.
///
/// The body fails when it is first read, before the head has left the server's buffer.
pub fn closed_connection() -> Response {
    let failure = stream::once(async { Err("closed on order".into()) });
    with_body(StatusCode::OK, Body::from_stream(failure))
}

/// Returns a number from the query of a request.
pub fn number(uri: &Uri, name: &str) -> Option<u64> {
    text(uri, name)?.parse().ok()
}

/// Returns a text from the query of a request, undecoded.
pub fn text<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Reads a body of at most `limit` bytes.
pub async fn read(body: Body, limit: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Reads a body as JSON.
pub async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, StatusCode> {
    let text = read(body, MAX_CALL_BYTES).await?;
    serde_json::from_slice(&text).map_err(|_| StatusCode::BAD_REQUEST)
}
