//! A small client for the tests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use serde::Serialize;
use serde_json::Value;
use ureq::Body;
use ureq::http::Response;

pub struct Client {
    agent: ureq::Agent,
    address: SocketAddr,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let config = ureq::Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .build();
        let agent = config.into();
        Self { agent, address }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub fn get(&self, path: &str) -> Response<Body> {
        self.agent.get(self.url(path)).call().unwrap()
    }

    pub fn get_json(&self, path: &str) -> Value {
        json(self.get(path))
    }

    pub fn post<T: Serialize>(&self, path: &str, body: &T) -> Response<Body> {
        self.try_post(path, body).unwrap()
    }

    pub fn try_post<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<Response<Body>, ureq::Error> {
        let body = serde_json::to_string(body).unwrap();
        self.agent
            .post(self.url(path))
            .header("x-request-id", "r-1")
            .send(body)
    }

    pub fn put<T: Serialize>(&self, path: &str, body: &T) -> Response<Body> {
        let body = serde_json::to_string(body).unwrap();
        self.agent.put(self.url(path)).send(body).unwrap()
    }

    pub fn delete(&self, path: &str) -> Response<Body> {
        self.agent.delete(self.url(path)).call().unwrap()
    }
}

pub fn json(mut response: Response<Body>) -> Value {
    let text = response.body_mut().read_to_string().unwrap();
    serde_json::from_str(&text).unwrap()
}

/// The lines of a streamed answer as they arrive, without the empty ones.
pub fn lines(response: Response<Body>) -> impl Iterator<Item = std::io::Result<String>> {
    BufReader::new(response.into_body().into_reader())
        .lines()
        .filter(|line| !line.as_ref().is_ok_and(String::is_empty))
}
