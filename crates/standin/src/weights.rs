//! The weight store: it hands out a small blob after a delay and refuses
//! fetches over its rate with 429.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Bytes;
use hyper::{Method, StatusCode};

use crate::Server;
use crate::http::{Answer, Handler, Request, Whole};
use crate::rate::Bucket;

/// How the weight store behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind.
    pub listen: SocketAddr,
    /// Time that one fetch takes.
    pub delay: Duration,
    /// Fetches that are taken in a second.
    pub fetches_per_second: u32,
    /// Size of a blob in bytes.
    pub blob_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            delay: Duration::from_millis(200),
            fetches_per_second: 2,
            blob_bytes: 64,
        }
    }
}

struct Service {
    settings: Settings,
    bucket: Mutex<Bucket>,
}

/// Starts a weight store.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Server> {
    let listen = settings.listen;
    let bucket = Bucket::new(settings.fetches_per_second, Instant::now());
    let service = Service {
        settings,
        bucket: Mutex::new(bucket),
    };
    Server::start(listen, Arc::new(service))
}

impl Service {
    fn fetch(&self) -> Answer {
        let allowed = self
            .bucket
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(Instant::now());
        if !allowed {
            return Answer::reason(StatusCode::TOO_MANY_REQUESTS, "fetch rate");
        }
        std::thread::sleep(self.settings.delay);
        let blob = Bytes::from(vec![0u8; self.settings.blob_bytes]);
        Answer::Whole(Whole::bytes(
            StatusCode::OK,
            "application/octet-stream",
            blob,
        ))
    }
}

impl Handler for Service {
    fn handle(&self, request: &Request) -> Answer {
        match (&request.method, request.segments().as_slice()) {
            (&Method::GET, ["weights", _, _]) => self.fetch(),
            _ => Answer::not_found(),
        }
    }
}
