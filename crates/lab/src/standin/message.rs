//! Reads requests and builds responses for the stand-ins' HTTP servers.

use bytes::Bytes;
use futures::stream;
use http::{StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo_http::body::Body;
use volo_http::response::Response;

/// Maximum size of a JSON request body, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024;

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> Response {
    with_body(status, Body::empty())
}

/// Creates a response with a value as JSON, or a 500 when the value cannot be serialized.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(text) => {
            let mut response = with_body(status, Body::from(text));
            let content_type = header::HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Creates a response with a body.
pub fn with_body(status: StatusCode, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Creates a response that is never sent; the server closes the connection instead.
///
/// The body fails at its first read, before the server flushes the response head.
pub fn close_connection() -> Response {
    let failure = stream::once(async { Err("connection closed without a response".into()) });
    with_body(StatusCode::OK, Body::from_stream(failure))
}

/// Returns a number from the query string of a request.
pub fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    query_text(uri, name)?.parse().ok()
}

/// Returns a parameter from the query string of a request, without percent-decoding.
pub fn query_text<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Reads a body of at most `limit` bytes.
///
/// Returns 413 when the body is longer and 400 when it breaks off.
pub async fn read(body: Body, limit: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Err(_) => Err(StatusCode::BAD_REQUEST),
    }
}

/// Reads a JSON body; returns 400 when it is not a `T`.
pub async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, StatusCode> {
    let text = read(body, MAX_JSON_BYTES).await?;
    serde_json::from_slice(&text).map_err(|_| StatusCode::BAD_REQUEST)
}
