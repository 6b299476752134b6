//! Bodies of many callers together, in a process of its own, as memory is counted by process.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[allow(dead_code, reason = "the other tests use the rest")]
#[path = "path/world.rs"]
mod world;

use dunlinward_router::Router;
use world::{World, request, send};

/// Memory for bodies in the settings, and largest body.
const BODIES: usize = 4_000_000;
const BODY: usize = 1_000_000;

/// Bound of what the process may grow by: it is also the stand-ins' and the clients'.
const GROWTH: u64 = 24_000_000;

/// Peak of the memory of this process, in bytes.
fn peak() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let kilobytes = line.unwrap().trim().strip_suffix(" kB").unwrap();
    kilobytes.parse::<u64>().unwrap() * 1_024
}

/// A connection with a body that stops short of its end, in chunks of so many bytes; it stays open.
fn short(address: SocketAddr, size: usize, key: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_write_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let head = format!(
        "POST /portal/x HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {key}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let batch = chunk.repeat((20_000 / size).max(1));
    let mut written = stream.write_all(head.as_bytes());
    for _ in 0..BODY * chunk.len() / size / batch.len() {
        // The router may have refused it.
        written = written.and_then(|()| stream.write_all(batch.as_bytes()));
    }
    stream
}

fn is_answered(router: &Router) -> bool {
    let ordinary = || {
        send(
            request(router, "POST", "/portal/x")
                .body("hello".into())
                .unwrap(),
        )
    };
    (0..4).any(|_| ordinary().status == 200)
}

#[test]
fn bodies_that_stop_short_are_bounded_together() {
    let world = World::new().with_plain(Duration::ZERO);
    let settings = world.settings("r1").with_body_limit(BODY);
    let router = world.router(settings.with_body_memory(BODIES));
    assert!(is_answered(&router));
    let before = peak();
    let address = router.callers_address();
    let sizes = [64_000, 1, 8_000, 64_000, 500];
    let crowd = sizes.iter().cycle().take(60);
    let crowd = crowd.map(|it| short(address, *it, "key-beta"));
    let mut crowd: Vec<_> = crowd.collect();
    assert!(is_answered(&router), "an ordinary request beside the crowd");
    let growth = peak() - before;
    println!("grown by {} kB", growth / 1_000);
    assert!(growth <= GROWTH, "grown by {growth}");
    // A refusal has a verdict and a time to retry.
    let mut told = String::new();
    for stream in &mut crowd {
        let mut answer = Vec::new();
        stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let mut buffer = [0; 1_024];
        while let Ok(length @ 1..) = stream.read(&mut buffer) {
            answer.extend_from_slice(&buffer[..length]);
        }
        let answer = String::from_utf8(answer).unwrap().to_lowercase();
        if answer.contains(" 503 ") {
            told = answer;
        }
    }
    for part in ["bodies_full", "not_run", "retry-after: 1"] {
        assert!(told.contains(part), "{part}: {told}");
    }
    drop(crowd);
    assert!(is_answered(&router), "an ordinary request after the crowd");
}
