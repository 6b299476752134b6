//! Callers that mean no good, each kind with one thread and a bounded number of
//! connections.
//!
//! - *Half-sent* requests stop in the middle of the head and keep the connection.
//! - *Slow readers* ask for a streamed answer and read a byte at a time.
//! - *Floods* send one short request after another as fast as they are answered:
//!   wrong keys, no HTTP at all, heads beyond any limit.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Connections of one kind that are open at once.
const OPEN: usize = 64;

/// Pause between two rounds over the open connections.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for a connection, a write or a read.
const PATIENCE: Duration = Duration::from_millis(500);

/// Rounds for which a half-sent request is held, 15 s: beyond the time that a
/// router gives for a head.
const HELD: usize = 300;

/// Rounds for which a slow reader reads, 10 s.
const SLOW: usize = 200;

/// Bytes of a head beyond any limit.
const HUGE: usize = 256 << 10;

/// The hostile callers; [`Hostile::stop`] ends them.
pub(super) struct Hostile {
    stop: Arc<AtomicBool>,
    threads: Vec<(&'static str, JoinHandle<u64>)>,
}

/// One kind of hostile caller.
type Work = fn(&[SocketAddr], &str, &AtomicBool) -> u64;

impl Hostile {
    /// Starts one thread for each kind.
    pub fn start(routers: &[SocketAddr], slow: &str) -> std::io::Result<Self> {
        let kinds: [(&'static str, Work); 3] = [
            ("half_sent", half_sent),
            ("slow_readers", slow_readers),
            ("floods", floods),
        ];
        let mut hostile = Self {
            stop: Arc::default(),
            threads: Vec::new(),
        };
        for (name, work) in kinds {
            let (routers, slow) = (routers.to_vec(), slow.to_owned());
            let stop = Arc::clone(&hostile.stop);
            let thread = std::thread::Builder::new()
                .name("hostile".into())
                .spawn(move || work(&routers, &slow, &stop))?;
            hostile.threads.push((name, thread));
        }
        Ok(hostile)
    }

    /// Ends them; gives the connections made by kind.
    pub fn stop(self) -> BTreeMap<&'static str, u64> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        threads
            .map(|(name, thread)| (name, thread.join().unwrap_or_default()))
            .collect()
    }
}

fn half_sent(routers: &[SocketAddr], _: &str, stop: &AtomicBool) -> u64 {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Le";
    hold(routers, head, HELD, stop, |_| {})
}

fn slow_readers(routers: &[SocketAddr], request: &str, stop: &AtomicBool) -> u64 {
    hold(routers, request, SLOW, stop, |connection| {
        // Nothing there yet, or closed: both are fine.
        let _ = connection.read(&mut [0]);
    })
}

/// Keeps connections open, each for a number of rounds, and starts new ones.
fn hold(
    routers: &[SocketAddr],
    first: &str,
    rounds: usize,
    stop: &AtomicBool,
    turn: impl Fn(&mut TcpStream),
) -> u64 {
    let mut open: Vec<(usize, TcpStream)> = Vec::new();
    let mut made = 0;
    while !stop.load(Ordering::Relaxed) {
        open.retain(|(age, _)| *age < rounds);
        if open.len() < OPEN {
            let connection = connect(routers, made).and_then(|mut connection| {
                connection.write_all(first.as_bytes())?;
                connection.set_nonblocking(true)?;
                Ok(connection)
            });
            if let Ok(connection) = connection {
                open.push((0, connection));
                made += 1;
            }
        }
        for (age, connection) in &mut open {
            *age += 1;
            turn(connection);
        }
        std::thread::sleep(PAUSE);
    }
    made
}

fn floods(routers: &[SocketAddr], _: &str, stop: &AtomicBool) -> u64 {
    let wrong = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
                 Authorization: Bearer nobody\r\nContent-Length: 2\r\n\r\n{}";
    let huge = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(HUGE));
    let texts = [wrong, "\u{0}\u{1} nothing like HTTP\r\n\r\n", &huge];
    let mut made = 0;
    while !stop.load(Ordering::Relaxed) {
        let text = texts[usize::try_from(made).unwrap_or(0) % texts.len()];
        // However the router ends it, it is counted.
        let _ = connect(routers, made).and_then(|mut connection| {
            connection.write_all(text.as_bytes())?;
            connection.read(&mut [0; 512])
        });
        made += 1;
    }
    made
}

fn connect(routers: &[SocketAddr], number: u64) -> std::io::Result<TcpStream> {
    let at = usize::try_from(number).unwrap_or(0) % routers.len();
    let connection = TcpStream::connect_timeout(&routers[at], PATIENCE)?;
    connection.set_read_timeout(Some(PATIENCE))?;
    connection.set_write_timeout(Some(PATIENCE))?;
    Ok(connection)
}
