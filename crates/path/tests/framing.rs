//! Framing of answers by their heads.

use dunlinward_path::framing::{self, Framing};
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

/// Lengths that are left in the head of an answer.
fn lengths(method: &Method, headers: &[(&str, &str)]) -> Vec<String> {
    let mut response = Response::builder();
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let mut head = response.body(()).unwrap().into_parts().0;
    framing::remove_framing(method, &mut head);
    assert!(!head.headers.contains_key("transfer-encoding"));
    let left = head.headers.get_all("content-length").iter();
    left.map(|it| it.to_str().unwrap().to_owned()).collect()
}

#[test]
fn only_the_length_of_a_body_that_is_not_sent_is_forwarded() {
    let length = ("content-length", "7");
    for headers in [
        vec![length],
        vec![length, ("transfer-encoding", "chunked")],
        vec![length, ("transfer-encoding", "chunk")],
        vec![length, length],
    ] {
        assert!(lengths(&Method::POST, &headers).is_empty(), "{headers:?}");
        let described = headers.len() == 1;
        let expected = if described { vec!["7"] } else { Vec::new() };
        assert_eq!(lengths(&Method::HEAD, &headers), expected, "{headers:?}");
    }
    assert!(lengths(&Method::HEAD, &[("content-length", "7 7")]).is_empty());
}
