//! What a message costs on a link, beside the ways that were weighed.
//!
//! `cargo run --release -p dunlinward-wire --example link-cost`
//!
//! Three carriers move the same messages over loopback: a pool's HTTP/2 link,
//! the same sealed frames on a bare TCP connection, and one sealed datagram for
//! each message. Messages go one at a time or 16 together, and a round ends
//! when all have arrived. Reported for each message are:
//!
//! - the bytes handed to the socket,
//! - the bytes of IP packets in both directions, acknowledgements included, as
//!   the kernel counts them for the whole network namespace,
//! - the processor time of both ends, in microseconds.
//!
//! Other traffic of the machine can only raise the two latter, so the least of
//! [`ROUNDS`] rounds is printed.

mod carrier;
mod usage;

use carrier::{Carrier, Datagram, KEY, Link, Stream};
use dunlinward_wire::frame::HEADER;
use dunlinward_wire::seal::{Opener, SEAL, Sealer};
use usage::Usage;

/// Rounds for each line.
const ROUNDS: usize = 15;

/// Messages in each round.
const MESSAGES: usize = 1600;

/// Bytes of the messages.
const SIZES: [usize; 3] = [20, 100, 300];

/// Messages sent together.
const TOGETHER: [usize; 2] = [1, 16];

/// Messages sealed to time the seal.
const SEALS: usize = 100_000;

/// Bytes of an empty message on a link: HTTP/2 and frame headers, the batch's
/// two lengths and the seal.
const EMPTY_MESSAGE: u64 = 9 + HEADER as u64 + 2 + SEAL as u64;

fn main() {
    report_parts();
    println!("carrier   bytes  together  socket B/msg  IP B/msg  CPU us/msg");
    let carriers: [Box<dyn Carrier>; 3] = [
        Box::new(Link::new()),
        Box::new(Stream::new()),
        Box::new(Datagram::new()),
    ];
    for carrier in carriers {
        for together in TOGETHER {
            for size in SIZES {
                report(carrier.as_ref(), size, together);
            }
        }
    }
}

/// Prints what opening a session and sealing a message cost.
fn report_parts() {
    let link = Link::new();
    link.exchange(b"", 1);
    let opening = link.written() - EMPTY_MESSAGE;
    println!("opening a session: {opening} B at the sockets of both ends");
    let mut sealer = Sealer::new(KEY);
    let mut opener = Opener::new(KEY);
    for size in SIZES {
        let message = vec![b'm'; size];
        let before = Usage::now(0);
        for _ in 0..SEALS {
            let payload = sealer.seal(&message);
            opener.open(payload).expect("a seal");
        }
        let [.., cpu] = Usage::now(0).since(before).each(SEALS);
        println!("seal and open {size} B: {:.2} us", cpu / 1000.0);
    }
}

fn report(carrier: &dyn Carrier, size: usize, together: usize) {
    let message = vec![b'm'; size];
    round(carrier, &message, together);
    let mut least = round(carrier, &message, together);
    for _ in 1..ROUNDS {
        least = least.min(round(carrier, &message, together));
    }
    let [socket, network, cpu] = least.each(MESSAGES);
    println!(
        "{:8}  {size:5}  {together:8}  {socket:12.1}  {network:8.1}  {:10.2}",
        carrier.name(),
        cpu / 1000.0,
    );
}

fn round(carrier: &dyn Carrier, message: &[u8], together: usize) -> Usage {
    let before = Usage::now(carrier.written());
    for _ in 0..MESSAGES / together {
        carrier.exchange(message, together);
    }
    Usage::now(carrier.written()).since(before)
}
