//! One or more routers among stand-ins, inside the test's process.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use dunlinward_config::key::Digest;
use dunlinward_config::revision::{Apply, Record, STREAM};
use dunlinward_router::{Router, Settings, start};
use dunlinward_standin::instances::{Instance, Role, State};
use dunlinward_standin::plain::{Record as Runs, Run};
use dunlinward_standin::{Server, engine, instances, log, plain};
use dunlinward_wire::Key;
use socket2::{Domain, Socket, Type};
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

/// Longest wait for something that has to come.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Everything around the routers.
pub struct World {
    pub log: Server,
    pub list: Server,
    pub engines: Vec<Server>,
    pub plains: Vec<Server>,
    targets: String,
    /// Ports at which nobody listens.
    absent: Vec<Socket>,
}

/// What a caller gets.
pub struct Reply {
    pub status: u16,
    pub verdict: Option<String>,
    pub request_id: Option<String>,
    pub replayed: bool,
    pub body: String,
}

impl World {
    /// Stand-ins without targets.
    pub fn new() -> Self {
        Self {
            log: log::start(log::Settings::default()).unwrap(),
            list: instances::start(instances::Settings {
                lag: Duration::ZERO,
                ..Default::default()
            })
            .unwrap(),
            engines: Vec::new(),
            plains: Vec::new(),
            targets: String::new(),
            absent: Vec::new(),
        }
    }

    /// Adds an engine.
    pub fn with_engine(mut self, slots: usize) -> Self {
        let mut settings = engine::Settings::default();
        settings.model.slots = slots;
        let server = engine::start(settings).unwrap();
        let name = format!("runner-{}", self.engines.len());
        self.target(&name, "questions", server.address(), slots);
        self.engines.push(server);
        self
    }

    /// Adds a plain service's target.
    pub fn with_plain(mut self, service_time: Duration) -> Self {
        let server = plain::start(plain::Settings {
            service_time,
            ..Default::default()
        })
        .unwrap();
        let name = format!("portal-{}", self.plains.len());
        self.target(&name, "portal", server.address(), 4);
        self.plains.push(server);
        self
    }

    /// Adds a target at which nobody listens.
    pub fn with_absent(mut self, service: &str) -> Self {
        // Bound and not listening: a port that was given back another test may take meanwhile.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(&any.into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        self.absent.push(socket);
        self.target(&format!("absent-{service}"), service, address, 4);
        self
    }

    /// Adds a plain service's target that answers a path with given bytes.
    pub fn with_raw(mut self, play: impl Fn(&str) -> (Vec<u8>, End) + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || serve_raw(&listener, &play));
        self.target("raw", "portal", address, 4);
        self
    }

    fn target(&mut self, name: &str, service: &str, address: SocketAddr, slots: usize) {
        let models = if service == "questions" {
            "models = [\"essay\"]"
        } else {
            ""
        };
        write!(
            self.targets,
            "[[target]]\nname = \"{name}\"\nservices = [\"{service}\"]\n\
             failure_domain = \"hall-a\"\naddress = \"{address}\"\nslots = {slots}\n{models}\n"
        )
        .unwrap();
    }

    /// The configuration; `repeatable` is for completions.
    pub fn text(&self, repeatable: bool) -> String {
        let mut text = "[fleet]\nname = \"test\"\nregion = \"dk-east\"\n\
                        failure_domains = [\"hall-a\"]\n"
            .to_owned();
        for customer in ["alpha", "beta"] {
            let digest = Digest::new(&format!("key-{customer}"));
            write!(
                text,
                "[[customer]]\nname = \"{customer}\"\nshare = 1\nkey_sha256 = [\"{digest}\"]\n"
            )
            .unwrap();
        }
        write!(
            text,
            "[[service]]\nname = \"questions\"\nkind = \"model\"\nclass = \"quick\"\n\
             models = [\"essay\"]\nrepeatable_completions = {repeatable}\ntimeout_ms = 10000\n\
             [[service]]\nname = \"portal\"\nkind = \"plain\"\nclass = \"quick\"\n\
             repeatable = [\"GET\", \"HEAD\"]\ntimeout_ms = 5000\n"
        )
        .unwrap();
        text + &self.targets
    }

    /// Appends a configuration to the log; gives its offset.
    pub fn apply(&self, id: &str, base: Option<u64>, text: &str) -> u64 {
        let record = Record::Apply(Apply {
            id: id.into(),
            base,
            author: "test".into(),
            text: text.into(),
        });
        let url = format!("http://{}/streams/{STREAM}/records", self.log.address());
        let answer = agent().post(url).send(record.encode().unwrap()).unwrap();
        let receipt = answer.into_body().read_to_string().unwrap();
        serde_json::from_str::<log::Receipt>(&receipt)
            .unwrap()
            .offset
    }

    /// Settings of a router in this world.
    pub fn settings(&self, name: &str) -> Settings {
        let key = Key::new(b"a key for tests only").unwrap();
        Settings::new(name, "hall-a", key)
            .with_log(self.log.address())
            .with_instances(self.list.address())
    }

    /// A router with the configuration in force and listed.
    pub fn router(&self, settings: Settings) -> Router {
        self.apply("first", None, &self.text(true));
        let router = start(settings).unwrap();
        self.list(&router, "r1");
        wait("a configuration in force", || router.revision().is_some());
        router
    }

    /// Lists a router.
    pub fn list(&self, router: &Router, name: &str) {
        self.list_entry(&Instance {
            name: name.into(),
            role: Role::Router,
            address: router.link_address(),
            failure_domain: "hall-a".into(),
            state: State::Live,
        });
    }

    /// Lists any instance.
    pub fn list_entry(&self, entry: &Instance) {
        let url = format!("http://{}/admin/instances", self.list.address());
        let body = serde_json::to_string(entry).unwrap();
        agent().put(url).send(body).unwrap();
    }
}

/// An agent that shows every status.
pub fn agent() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into()
}

/// Waits until something holds.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "no {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sets the faults of a stand-in.
pub fn fault(server: &Server, faults: &str) {
    let url = format!("http://{}/admin/faults", server.address());
    let answer = agent().post(url).send(faults).unwrap();
    assert_eq!(answer.status(), 200, "{faults}");
}

/// What a stand-in ran.
pub fn runs(server: &Server) -> Vec<Run> {
    let url = format!("http://{}/admin/runs", server.address());
    let text = agent().get(url).call().unwrap();
    let record: Runs = serde_json::from_str(&text.into_body().read_to_string().unwrap()).unwrap();
    record.runs
}

/// How often a stand-in ran anything.
pub fn run_count(server: &Server) -> u64 {
    runs(server).iter().map(|run| run.count).sum()
}

/// A request of the customer alpha.
pub fn request(router: &Router, method: &str, path: &str) -> ureq::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", router.callers_address()))
        .header("authorization", "Bearer key-alpha")
}

/// A completion's body.
pub fn completion(tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model":"essay","stream":{stream},"messages":[{{"role":"user","content":"Why? {}"}}]}}"#,
        engine::api::marker(tokens)
    )
}

/// Sends a request and reads the whole answer.
pub fn send(request: Request<String>) -> Reply {
    reply(agent().run(request).unwrap())
}

/// Reads a whole answer.
pub fn reply(response: Response<Body>) -> Reply {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    Reply {
        status: response.status().as_u16(),
        verdict: header("x-dunlinward-verdict"),
        request_id: header("x-request-id"),
        replayed: header("x-dunlinward-replayed").is_some(),
        body: response.into_body().read_to_string().unwrap(),
    }
}

/// The value of a metric's line, 0 when there is none.
pub fn metric(router: &Router, line: &str) -> u64 {
    let text = router.metrics().unwrap();
    text.lines()
        .find_map(|known| known.strip_prefix(line)?.trim().parse().ok())
        .unwrap_or(0)
}

/// Slots in use as the router sees it.
pub fn busy(router: &Router) -> u32 {
    let status = router.status().unwrap();
    status.targets.iter().map(|target| target.busy).sum()
}

/// How a target that writes given bytes ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Close,
    Reset,
}

/// Serves connections of one request each; `play` gives the bytes of the answer to a path.
fn serve_raw(listener: &TcpListener, play: &dyn Fn(&str) -> (Vec<u8>, End)) {
    for stream in listener.incoming() {
        let mut stream = stream.unwrap();
        let Some(path) = read_request(&mut stream) else {
            continue;
        };
        let (bytes, end) = play(&path);
        // The router may have closed it already.
        let _ = stream.write_all(&bytes);
        if end == End::Reset {
            std::thread::sleep(Duration::from_millis(1));
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
}

/// Reads a request; its path.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    first.split(' ').nth(1).map(str::to_owned)
}
