//! Heads of requests to targets and of answers to callers.
//!
//! What belongs to one connection stays on it: hop-by-hop headers are passed on
//! in neither direction, nor is the caller's key. The router's request id and its
//! number of the attempt take the place of any that the caller sent.

use hyper::HeaderMap;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use ureq::Body;
use ureq::http::{self, Request, Response, Version};

use super::Place;
use super::transport::url;
use crate::call::Call;
use crate::refusal::REQUEST_ID;
use crate::reply::Head;

/// Header that numbers the attempts of one request.
const ATTEMPT: &str = "x-dunlinward-attempt";

const HOP: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

const HOP_EXTRA: [&str; 3] = ["keep-alive", "proxy-connection", "proxy-authorization"];

/// The request to a target.
///
/// # Errors
///
/// When the path cannot be part of a URL.
pub fn request(call: &Call, place: &Place, number: u32) -> Result<Request<Vec<u8>>, http::Error> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(url(place.address, &call.path));
    for (name, value) in &call.headers {
        if is_end_to_end(name) && !is_ours(name) {
            builder = builder.header(name, value);
        }
    }
    builder
        .header(REQUEST_ID, &*call.name)
        .header(ATTEMPT, number)
        .body(call.body.to_vec())
}

/// The head for the caller of a target's answer.
#[must_use]
pub fn answer(response: &Response<Body>, call: &Call) -> Head {
    let mut headers = HeaderMap::new();
    for (name, value) in response.headers() {
        if is_end_to_end(name) {
            headers.append(name, value.clone());
        }
    }
    if let Ok(id) = call.name.parse() {
        headers.insert(REQUEST_ID, id);
    }
    Head {
        status: response.status(),
        headers,
    }
}

/// Whether the end of the answer's body can be told from a lost connection (RFC 9112, section 6.3).
/// The library ignores a transfer coding that it does not know, and each one in HTTP/1.0.
#[must_use]
pub fn is_framed(response: &Response<Body>, call: &Call) -> bool {
    let status = response.status();
    let bodiless = call.method == http::Method::HEAD
        || status == http::StatusCode::NO_CONTENT
        || status == http::StatusCode::NOT_MODIFIED;
    if bodiless {
        return true;
    }
    let headers = response.headers();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return headers.contains_key(CONTENT_LENGTH);
    };
    let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
    chunked && response.version() >= Version::HTTP_11
}

/// Whether only the router may say it to a target: the key stays here, the rest is set anew.
fn is_ours(name: &HeaderName) -> bool {
    *name == AUTHORIZATION || *name == REQUEST_ID || name.as_str() == ATTEMPT
}

fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP.contains(name) && !HOP_EXTRA.contains(&name.as_str())
}
