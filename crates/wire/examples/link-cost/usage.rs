//! Bytes and processor time, as the kernel counts them.

use std::fs;

/// Totals since some start.
#[derive(Clone, Copy)]
pub struct Usage {
    socket: u64,
    network: u64,
    cpu: u64,
}

impl Usage {
    /// Totals of this process and its network namespace.
    pub fn now(socket: u64) -> Self {
        Self {
            socket,
            network: octets(),
            cpu: nanoseconds(),
        }
    }

    pub fn since(self, before: Self) -> Self {
        Self {
            socket: self.socket - before.socket,
            network: self.network - before.network,
            cpu: self.cpu - before.cpu,
        }
    }

    pub fn min(self, other: Self) -> Self {
        Self {
            socket: self.socket.min(other.socket),
            network: self.network.min(other.network),
            cpu: self.cpu.min(other.cpu),
        }
    }

    /// Shares of one message.
    pub fn each(self, messages: usize) -> [f64; 3] {
        let messages = u32::try_from(messages).expect("a small number");
        [self.socket, self.network, self.cpu].map(|total| {
            let total = u32::try_from(total).expect("a short round");
            f64::from(total) / f64::from(messages)
        })
    }
}

/// Bytes of IP packets sent in the network namespace.
fn octets() -> u64 {
    let table = fs::read_to_string("/proc/self/net/netstat").expect("Linux counters");
    let mut lines = table.lines().filter(|line| line.starts_with("IpExt:"));
    let names = lines.next().expect("names").split_whitespace();
    let mut values = lines.next().expect("values").split_whitespace();
    let column = names
        .into_iter()
        .position(|name| name == "OutOctets")
        .expect("the column");
    let value = values.nth(column).expect("the value");
    value.parse().expect("a number")
}

/// Processor time of all threads, in nanoseconds.
fn nanoseconds() -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("Linux threads");
    tasks
        .map(|task| {
            let path = task.expect("a thread").path().join("schedstat");
            let line = fs::read_to_string(path).expect("its times");
            let first = line.split_whitespace().next().expect("its time");
            first.parse::<u64>().expect("a number")
        })
        .sum()
}
