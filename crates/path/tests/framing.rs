//! Framing of answers by their heads.

use dunlinward_path::framing::Framing;
use hyper::{Method, Response};

fn framing(method: &Method, status: u16, headers: &[(&str, &str)]) -> &'static str {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let head = response.body(()).unwrap().into_parts().0;
    Framing::new(method, &head).name()
}

#[test]
fn framing_follows_from_method_status_and_headers() {
    let (post, length) = (Method::POST, ("content-length", "7"));
    let coding = |value| ("transfer-encoding", value);
    for (headers, expected) in [
        (vec![], "connection"),
        (vec![length], "length"),
        (vec![coding("chunked")], "chunked"),
        (vec![coding("gzip, Chunked")], "chunked"),
        (vec![coding("gzip"), coding("chunked")], "chunked"),
        (vec![coding("chunked"), coding("gzip")], "connection"),
        (vec![coding("gzip"), length], "connection"),
        (vec![length, coding("chunked")], "chunked"),
    ] {
        assert_eq!(framing(&post, 200, &headers), expected, "{headers:?}");
    }
    assert_eq!(framing(&Method::HEAD, 200, &[]), "length");
    for status in [204, 304] {
        assert_eq!(framing(&post, status, &[]), "length");
    }
    assert_eq!(framing(&post, 500, &[]), "connection");
}
