//! The carriers compared.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use bytes::{Bytes, BytesMut};
use dunlinward_wire::hello::Tag;
use dunlinward_wire::seal::{Opener, Sealer};
use dunlinward_wire::{Decoder, Event, Frame, Key, Pool, Settings, link};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Key of the links and of the bare seals.
pub const KEY: Tag = [7; 32];

/// Sequence number that a datagram has to carry, since it may be lost.
const SEQUENCE: [u8; 4] = [0; 4];

/// Moves messages from one end to the other.
pub trait Carrier {
    fn name(&self) -> &'static str;

    /// Sends a message `count` times and waits until all arrived.
    fn exchange(&self, message: &[u8], count: usize);

    /// Bytes handed to sockets by both ends.
    fn written(&self) -> u64;
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Two pools.
pub struct Link {
    sender: Pool,
    receiver: Pool,
    inbox: Receiver<Event>,
    _unread: Receiver<Event>,
}

impl Link {
    pub fn new() -> Self {
        let (sender, unread) = pool("r1", 1);
        let (receiver, inbox) = pool("r2", 2);
        let peer = link::Peer {
            instance: "r2".into(),
            address: receiver.address(),
        };
        sender.set_peers(&[peer]);
        Self {
            sender,
            receiver,
            inbox,
            _unread: unread,
        }
    }
}

fn pool(instance: &str, seed: u64) -> (Pool, Receiver<Event>) {
    let (inbox, events) = channel();
    let key = Key::new(&KEY).expect("a long key");
    let random = StdRng::seed_from_u64(seed);
    let settings = Settings::new(loopback(), instance, 1, "hall-a", key, random);
    (Pool::new(settings, inbox).expect("a pool"), events)
}

impl Carrier for Link {
    fn name(&self) -> &'static str {
        "link"
    }

    fn exchange(&self, message: &[u8], count: usize) {
        for _ in 0..count {
            self.sender.send("r2", message.to_vec()).expect("a peer");
        }
        let events = self.inbox.iter();
        let messages = events.filter(|event| matches!(event, Event::Message { .. }));
        assert_eq!(messages.take(count).count(), count);
    }

    fn written(&self) -> u64 {
        self.sender.counters().bytes_out + self.receiver.counters().bytes_out
    }
}

/// Sealed frames on a bare TCP connection.
pub struct Stream {
    state: Mutex<(TcpStream, Sealer, u64)>,
    inbox: Receiver<Bytes>,
}

impl Stream {
    pub fn new() -> Self {
        let listener = TcpListener::bind(loopback()).expect("a listener");
        let address = listener.local_addr().expect("its address");
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("an option");
        let (accepted, _) = listener.accept().expect("a connection");
        let (outbox, inbox) = channel();
        thread::spawn(move || receive_frames(accepted, &outbox));
        let state = Mutex::new((stream, Sealer::new(KEY), 0));
        Self { state, inbox }
    }
}

fn receive_frames(mut stream: TcpStream, outbox: &Sender<Bytes>) {
    let mut decoder = Decoder::new();
    let mut opener = Opener::new(KEY);
    let mut buffer = [0; 16 << 10];
    while let Ok(read @ 1..) = stream.read(&mut buffer) {
        decoder.push(&buffer[..read]);
        while let Some(frame) = decoder.pop().expect("frames") {
            let message = opener.open(frame.into_payload()).expect("a seal");
            outbox.send(message).expect("a reader");
        }
    }
}

impl Carrier for Stream {
    fn name(&self) -> &'static str {
        "tcp"
    }

    fn exchange(&self, message: &[u8], count: usize) {
        let mut state = self.state.lock().expect("one thread");
        let (stream, sealer, written) = &mut *state;
        let mut out = BytesMut::new();
        for _ in 0..count {
            let payload = sealer.seal(message);
            Frame::new(payload).expect("a short frame").write(&mut out);
        }
        stream.write_all(&out).expect("a connection");
        *written += out.len() as u64;
        assert_eq!(self.inbox.iter().take(count).count(), count);
    }

    fn written(&self) -> u64 {
        self.state.lock().expect("one thread").2
    }
}

/// One sealed datagram for each message.
pub struct Datagram {
    state: Mutex<(UdpSocket, Sealer, u64)>,
    inbox: Receiver<Bytes>,
}

impl Datagram {
    pub fn new() -> Self {
        let receiver = UdpSocket::bind(loopback()).expect("a socket");
        let sender = UdpSocket::bind(loopback()).expect("a socket");
        let address = receiver.local_addr().expect("its address");
        sender.connect(address).expect("an address");
        let (outbox, inbox) = channel();
        thread::spawn(move || receive_datagrams(&receiver, &outbox));
        let state = Mutex::new((sender, Sealer::new(KEY), 0));
        Self { state, inbox }
    }
}

fn receive_datagrams(socket: &UdpSocket, outbox: &Sender<Bytes>) {
    let mut opener = Opener::new(KEY);
    let mut buffer = [0; 2048];
    while let Ok(read) = socket.recv(&mut buffer) {
        let sealed = Bytes::copy_from_slice(&buffer[1 + SEQUENCE.len()..read]);
        let message = opener.open(sealed).expect("a seal");
        if outbox.send(message).is_err() {
            return;
        }
    }
}

impl Carrier for Datagram {
    fn name(&self) -> &'static str {
        "udp"
    }

    fn exchange(&self, message: &[u8], count: usize) {
        let mut state = self.state.lock().expect("one thread");
        let (socket, sealer, written) = &mut *state;
        for _ in 0..count {
            let payload = sealer.seal(message);
            let datagram = [&[1], &SEQUENCE[..], &payload].concat();
            socket.send(&datagram).expect("a socket");
            *written += datagram.len() as u64;
        }
        assert_eq!(self.inbox.iter().take(count).count(), count);
    }

    fn written(&self) -> u64 {
        self.state.lock().expect("one thread").2
    }
}
