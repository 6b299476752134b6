//! Pools on loopback and a hand-driven dialer that may misbehave.

use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use dunlinward_wire::batch::Batch;
use dunlinward_wire::counter::Snapshot;
use dunlinward_wire::hello::{Answer, Dialer, Hello, Nonce, Session, VERSION};
use dunlinward_wire::{Decoder, Event, Frame, Identity, Key, Pool, Settings, encode, link};
use h2::{RecvStream, SendStream};
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn key() -> Key {
    Key::new(b"the key of the fleet in tests").unwrap()
}

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn settings(instance: &str, incarnation: u64) -> Settings {
    let seed = instance.bytes().fold(incarnation, |seed, byte| {
        seed.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let random = StdRng::seed_from_u64(seed);
    Settings::new(loopback(), instance, incarnation, "hall-a", key(), random).with_hello(PATIENCE)
}

pub fn start(settings: Settings) -> (Pool, Receiver<Event>) {
    let (inbox, events) = channel();
    (Pool::new(settings, inbox).unwrap(), events)
}

pub fn peer(instance: &str, address: SocketAddr) -> link::Peer {
    link::Peer {
        instance: instance.into(),
        address,
    }
}

pub fn next(events: &Receiver<Event>) -> Event {
    events.recv_timeout(PATIENCE).expect("an event in time")
}

/// The next event as one line without ports.
pub fn line(events: &Receiver<Event>) -> String {
    match next(events) {
        Event::Up { peer } => format!(
            "up {} {} {}",
            peer.instance, peer.incarnation, peer.failure_domain
        ),
        Event::Down {
            instance,
            incarnation,
        } => format!("down {instance} {incarnation}"),
        Event::Message {
            from,
            incarnation,
            bytes,
        } => format!("{from} {incarnation}: {}", String::from_utf8_lossy(&bytes)),
    }
}

/// Waits until the counters satisfy `done`.
pub fn settle(pool: &Pool, done: impl Fn(&Snapshot) -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done(&pool.counters()) {
        assert!(Instant::now() < end, "counters stay {:?}", pool.counters());
        std::thread::sleep(Duration::from_millis(2));
    }
}

pub fn identity(instance: &str, incarnation: u64) -> Identity {
    Identity {
        instance: instance.into(),
        incarnation,
        failure_domain: "hall-a".into(),
        listen: "127.0.0.1:9".parse().unwrap(),
    }
}

pub fn hello(instance: &str, incarnation: u64, nonce: u8) -> Hello {
    Hello {
        version: VERSION,
        nonce: Nonce::from([nonce; 16]),
        identity: identity(instance, incarnation),
    }
}

pub fn frame(payload: impl Into<Bytes>) -> Bytes {
    let mut out = BytesMut::new();
    Frame::new(payload).unwrap().write(&mut out);
    out.freeze()
}

/// The sealed frame of a single message.
pub fn sealed(session: &mut Session, message: &[u8]) -> Bytes {
    let batch = Batch::new(vec![message.to_vec()]);
    frame(session.sealer.seal(&batch.encode().unwrap()))
}

pub fn run<T>(future: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(PATIENCE, future).await.unwrap() })
}

/// A dialer whose every byte the test decides.
pub struct Raw {
    send: SendStream<Bytes>,
    receive: RecvStream,
    decoder: Decoder,
}

impl Raw {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (requests, connection) = h2::client::handshake(stream).await.unwrap();
        tokio::spawn(connection);
        let request = http::Request::post("http://link/").body(()).unwrap();
        let mut requests = requests.ready().await.unwrap();
        let (response, send) = requests.send_request(request, false).unwrap();
        Self {
            send,
            receive: response.await.unwrap().into_body(),
            decoder: Decoder::new(),
        }
    }

    /// Connects and completes the hello, the welcome included.
    pub async fn open(address: SocketAddr, hello: Hello) -> (Self, Session) {
        let mut raw = Self::connect(address).await;
        let mut session = raw.shake(hello).await;
        let welcome = raw.receive().await.expect("a welcome");
        let welcome = Batch::decode(&session.opener.open(welcome).unwrap()).unwrap();
        assert_eq!(welcome, Batch::default());
        (raw, session)
    }

    pub async fn shake(&mut self, hello: Hello) -> Session {
        self.send(frame(encode(&hello, 1024).unwrap()));
        let answer = self.receive().await.expect("an answer");
        let answer: Answer = dunlinward_wire::decode(&answer, 1024).unwrap();
        let (confirm, session) = Dialer::new(key(), hello).finish(answer).unwrap();
        self.send(frame(encode(&confirm, 1024).unwrap()));
        session
    }

    pub fn send(&mut self, bytes: impl Into<Bytes>) {
        self.send.send_data(bytes.into(), false).unwrap();
    }

    pub fn finish(&mut self) {
        self.send.send_data(Bytes::new(), true).unwrap();
    }

    /// The next payload, or `None` once the other end closed.
    pub async fn receive(&mut self) -> Option<Bytes> {
        loop {
            if let Some(frame) = self.decoder.pop().unwrap() {
                return Some(frame.into_payload());
            }
            let bytes = self.receive.data().await?.ok()?;
            self.decoder.push(&bytes);
        }
    }
}
