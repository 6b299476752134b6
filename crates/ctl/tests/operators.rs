//! `explain`, `status` and `drain` against a running router.

use std::ffi::OsString;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use dunlinward_config::key::Digest;
use dunlinward_ctl::exit::Exit;
use dunlinward_router::Router;
use dunlinward_standin::{Server, log, plain};
use dunlinward_wire::Key;
use ureq::Agent;

const PATIENCE: Duration = Duration::from_secs(20);

/// A router, the log it reads and the one target it sends to.
struct World {
    log: Server,
    _plain: Server,
    router: Router,
}

fn run(args: &[&str]) -> (Exit, String) {
    let args = std::iter::once("dunlinctl")
        .chain(args.iter().copied())
        .map(OsString::from);
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = dunlinward_ctl::run(args, &mut out, &mut err);
    assert_eq!(String::from_utf8(err).unwrap(), "");
    (exit, String::from_utf8(out).unwrap())
}

fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "no {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A file of this test's own.
fn file(name: &str, target: SocketAddr) -> PathBuf {
    let digest = Digest::new("key-alpha");
    let text = format!(
        "[fleet]\nname = \"test\"\nregion = \"dk-east\"\nfailure_domains = [\"hall-a\"]\n\
         [[customer]]\nname = \"alpha\"\nshare = 3\nkey_sha256 = [\"{digest}\"]\n\
         [[service]]\nname = \"portal\"\nkind = \"plain\"\nclass = \"quick\"\n\
         [[target]]\nname = \"portal-0\"\nservices = [\"portal\"]\n\
         failure_domain = \"hall-a\"\naddress = \"{target}\"\nslots = 4\n"
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

impl World {
    fn new(name: &str) -> Self {
        let log = log::start(log::Settings::default()).unwrap();
        let plain = plain::start(plain::Settings::default()).unwrap();
        let path = file(name, plain.address());
        let address = log.address().to_string();
        let (exit, out) = run(&["apply", path.to_str().unwrap(), "--log", &address]);
        assert_eq!(exit, Exit::Done, "{out}");
        let key = Key::new(b"a key for tests only").unwrap();
        let settings = dunlinward_router::Settings::new("r1", "hall-a", key);
        let router = dunlinward_router::start(settings.with_log(log.address())).unwrap();
        wait("a configuration in force", || router.revision().is_some());
        Self {
            log,
            _plain: plain,
            router,
        }
    }

    fn operators(&self) -> String {
        self.router.operators_address().to_string()
    }

    /// Makes one call; gives its id.
    fn call(&self) -> String {
        let agent: Agent = Agent::config_builder().proxy(None).build().into();
        let url = format!("http://{}/portal/receipts", self.router.callers_address());
        let call = agent.post(url).header("authorization", "Bearer key-alpha");
        let response = call.send("paper").unwrap();
        response.headers()["x-request-id"]
            .to_str()
            .unwrap()
            .to_owned()
    }
}

/// An address at which nobody listens.
fn gone() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// The lines with one space between words, and without times and the router's run.
/// Whether a request had to wait is up to the rounds, so that step is left out.
fn shown(text: &str, id: &str) -> String {
    let text = text.replace(id, "ID");
    let time = |word: &str| word.contains('.') && word.parse::<f64>().is_ok();
    let lines = text.lines().filter(|line| !line.contains(" queued "));
    let lines = lines.map(|line| {
        let words = line.split_whitespace();
        let words = words.map(|word| if time(word) { "TIME" } else { word });
        words.collect::<Vec<_>>().join(" ")
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_request_is_explained_by_the_router_that_took_it() {
    let world = World::new("explain-request.toml");
    let (router, id) = (world.operators(), world.call());
    wait("the end", || {
        run(&["explain", "request", &id, "--router", &router])
            .1
            .contains(" over\n")
    });
    let (exit, out) = run(&["explain", "request", &id, "--router", &router]);
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!(shown(&out, &id));
    // A router that is away does no harm while another knows.
    let gone = gone();
    let both = ["--router", &gone, "--router", &router];
    let (exit, out) = run(&[&["explain", "request", &id, "--json"][..], &both].concat());
    assert_eq!(exit, Exit::Done);
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(told[0]["state"], "unavailable");
    assert_eq!(told[1]["stage"], "over");
    assert_eq!(told[1]["steps"][0]["step"], "arrived");
    let (exit, _) = run(&[&["explain", "request", "r9-1-1"][..], &both].concat());
    assert_eq!(exit, Exit::Unavailable);
    for (name, end, text) in [
        ("r9-1-1", Exit::NotFound, "r1: router r9 has it\n"),
        (
            "r1-1-1",
            Exit::NotFound,
            "r1: it came before this router's last start\n",
        ),
        ("paper", Exit::Usage, "r1: this is no request's id\n"),
        ("a b/c", Exit::Usage, "r1: this is no request's id\n"),
    ] {
        let (exit, out) = run(&["explain", "request", name, "--router", &router]);
        assert_eq!((exit, out.as_str()), (end, text), "{name}");
    }
}

#[test]
fn customers_and_targets_are_explained_by_every_router() {
    let world = World::new("explain-names.toml");
    let (router, id) = (world.operators(), world.call());
    for (kind, name) in [("customer", "alpha"), ("target", "portal-0")] {
        let ask = ["explain", kind, name, "--router", &router];
        wait("the end", || run(&ask).1.contains(" ended "));
        let (exit, out) = run(&ask);
        assert_eq!(exit, Exit::Done);
        let out = shown(&out, &id);
        let end = "TIME s TIME s ID alpha ended 1 portal-0 whole, 1 units";
        assert!(out.lines().any(|line| line == end), "{out}");
        let (exit, out) = run(&["explain", kind, "nobody", "--router", &router]);
        let text = "r1: no such name in the configuration\n";
        assert_eq!((exit, out.as_str()), (Exit::NotFound, text));
        let (exit, out) = run(&[&ask[..], &["--router", &gone()]].concat());
        assert_eq!(exit, Exit::Unavailable);
        assert!(
            out.contains("unavailable: ") && out.contains(" ended "),
            "{out}"
        );
    }
}

#[test]
fn the_status_of_a_router_is_read_and_a_drain_begins() {
    let world = World::new("drain.toml");
    let (log, router) = (world.log.address().to_string(), world.operators());
    world.call();
    let (exit, out) = run(&["status", "--log", &log, "--router", &router]);
    assert_eq!(exit, Exit::Done, "{out}");
    let out = shown(&out, &router);
    for line in [
        "ID r1 hall-a 0 serving",
        "alpha portal 3",
        "portal-0 hall-a r1 4",
    ] {
        assert!(
            out.lines().any(|own| own.starts_with(line)),
            "{line}: {out}"
        );
    }
    assert!(!world.router.draining());
    let (exit, out) = run(&["drain", "--router", &router]);
    assert_eq!((exit, out), (Exit::Done, format!("draining: {router}\n")));
    assert!(world.router.draining());
    let (exit, out) = run(&["drain", "--router", &gone()]);
    assert_eq!(exit, Exit::Unavailable);
    assert!(out.starts_with("unavailable: "), "{out}");
}
