//! Requests that meet the end of their router.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::world::{PATIENCE, World};

/// Connections of a play, half of them used before.
const CALLERS: usize = 32;

/// Routers that are stopped, one after the other.
const PLAYS: usize = 3;

const REQUEST: &str = "POST /portal/x HTTP/1.1\r\nhost: r\r\nauthorization: Bearer key-alpha\r\ncontent-length: 1\r\n\r\nx";

/// Reads an answer; its first line, empty if the connection ends before.
fn answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.split("content-length: ").nth(1).unwrap_or("0");
            let length: usize = length.lines().next().unwrap().parse().unwrap();
            if body.len() >= length {
                return head.lines().next().unwrap().to_owned();
            }
        }
        match stream.read(&mut buffer) {
            Ok(length @ 1..) => bytes.extend(&buffer[..length]),
            _ => return String::new(),
        }
    }
}

/// Guards against requests that lie in the router's sockets when it closes idle connections.
#[test]
fn requests_that_came_before_the_stop_are_answered() {
    let mut lost = 0;
    for _ in 0..PLAYS {
        let world = World::new().with_plain(Duration::from_millis(1));
        let router = world.router(world.settings("r1"));
        let mut callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let stream = TcpStream::connect(router.callers_address()).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                stream
            })
            .collect();
        for caller in callers.iter_mut().step_by(2) {
            caller.write_all(REQUEST.as_bytes()).unwrap();
            assert!(answer(caller).contains("200"));
        }
        for caller in &mut callers {
            caller.write_all(REQUEST.as_bytes()).unwrap();
        }
        let stopping = std::thread::spawn(move || router.stop());
        for caller in &mut callers {
            lost += usize::from(answer(caller).is_empty());
        }
        stopping.join().unwrap();
    }
    assert_eq!(lost, 0, "of {}", PLAYS * CALLERS);
}
