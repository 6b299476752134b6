//! Each subcommand of the binary serves on the address that it prints.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn get(arguments: &[&str], path: &str) -> u16 {
    let child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(arguments)
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut process = Process(child);
    let mut address = String::new();
    BufReader::new(process.0.stdout.take().unwrap())
        .read_line(&mut address)
        .unwrap();
    let agent: ureq::Agent = ureq::Agent::config_builder().proxy(None).build().into();
    let url = format!("http://{}{path}", address.trim());
    agent.get(url).call().unwrap().status().as_u16()
}

#[test]
fn every_subcommand_serves() {
    assert_eq!(
        get(&["engine", "--slots", "2", "--ignore-fence"], "/load"),
        200
    );
    assert_eq!(get(&["plain", "--service-ms", "0"], "/any"), 200);
    assert_eq!(
        get(&["log", "--max-records", "5"], "/streams/s/records"),
        200
    );
    assert_eq!(get(&["instances", "--lag-ms", "0"], "/instances"), 200);
    assert_eq!(get(&["weights", "--delay-ms", "0"], "/weights/m/1"), 200);
}

#[test]
fn wrong_arguments_are_an_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args(["engine", "--listen", "nowhere"])
        .output()
        .unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("nowhere"), "{message}");
}
