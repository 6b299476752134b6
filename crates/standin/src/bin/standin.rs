//! Runs one stand-in as a process of its own.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use dunlinward_standin::{Server, engine, instances, log, plain, weights};

fn main() -> ExitCode {
    let matches = command().get_matches();
    match start(&matches) {
        Ok(server) => {
            println!("{}", server.address());
            server.wait();
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("standin: {err}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    Command::new("standin")
        .about("Stands in for one of the systems around a dunlinward fleet")
        .subcommand_required(true)
        .subcommand(
            sub("engine", "A model engine")
                .arg(number("slots", "16", "Streams that run at once"))
                .arg(number(
                    "linger-ms",
                    "5000",
                    "How long a lost stream runs on",
                ))
                .arg(number("seed", "1", "Seed of the lost cache events"))
                .arg(
                    Arg::new("ignore-fence")
                        .long("ignore-fence")
                        .action(ArgAction::SetTrue)
                        .help("Carry out orders with old fencing numbers"),
                )
                .arg(
                    Arg::new("weights")
                        .long("weights")
                        .value_name("ADDR")
                        .value_parser(value_parser!(SocketAddr))
                        .help("Where load orders fetch weights"),
                ),
        )
        .subcommand(
            sub("plain", "A plain service")
                .arg(number("slots", "8", "Calls that run at once"))
                .arg(number("service-ms", "20", "Time that a call takes")),
        )
        .subcommand(
            sub("log", "An append-only log service")
                .arg(number(
                    "max-records",
                    "100000",
                    "Records that a stream keeps",
                ))
                .arg(number(
                    "appends-per-second",
                    "500",
                    "Appends that are taken",
                )),
        )
        .subcommand(sub("instances", "An instance list").arg(number(
            "lag-ms",
            "500",
            "Time until a change is visible",
        )))
        .subcommand(
            sub("weights", "A weight store")
                .arg(number("fetches-per-second", "2", "Fetches that are taken"))
                .arg(number("delay-ms", "200", "Time that a fetch takes")),
        )
}

fn sub(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDR")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr))
            .help("Address to bind; the bound one is printed"),
    )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u32))
        .help(help)
}

fn start(matches: &ArgMatches) -> io::Result<Server> {
    let (name, args) = matches.subcommand().expect("a subcommand is required");
    match name {
        "engine" => engine::start(engine_settings(args)),
        "plain" => plain::start(plain::Settings {
            listen: listen(args),
            service_time: millis(args, "service-ms"),
            slots: value(args, "slots") as usize,
        }),
        "log" => log::start(log::Settings {
            listen: listen(args),
            max_records: value(args, "max-records") as usize,
            appends_per_second: value(args, "appends-per-second"),
        }),
        "instances" => instances::start(instances::Settings {
            listen: listen(args),
            lag: millis(args, "lag-ms"),
            ..instances::Settings::default()
        }),
        _ => weights::start(weights::Settings {
            listen: listen(args),
            delay: millis(args, "delay-ms"),
            fetches_per_second: value(args, "fetches-per-second"),
            ..weights::Settings::default()
        }),
    }
}

fn engine_settings(args: &ArgMatches) -> engine::Settings {
    engine::Settings {
        listen: listen(args),
        model: engine::model::Settings {
            slots: value(args, "slots") as usize,
            ..engine::model::Settings::default()
        },
        seed: u64::from(value(args, "seed")),
        linger: millis(args, "linger-ms"),
        check_fence: !args.get_flag("ignore-fence"),
        weights: args.get_one("weights").copied(),
        ..engine::Settings::default()
    }
}

fn listen(args: &ArgMatches) -> SocketAddr {
    *args.get_one("listen").expect("it has a default")
}

fn value(args: &ArgMatches, name: &str) -> u32 {
    *args.get_one(name).expect("it has a default")
}

fn millis(args: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(u64::from(value(args, name)))
}
