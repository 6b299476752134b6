//! Shows a whole fleet under load in one process.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use dunlinward_standin::demo::{self, Deployment, Settings};

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u16>(name).expect("it has a default");
    let settings = Settings {
        deployment: *matches.get_one("deployment").expect("it has a default"),
        time: Duration::from_secs(u64::from(number("seconds"))),
        routers: usize::from(number("routers")),
        seed: u64::from(number("seed")),
    };
    match demo::run(&settings, &mut io::stdout().lock()) {
        Ok(_) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("demo: {err}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let number = |name, default, help| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u16).range(1..))
            .help(help)
    };
    Command::new("demo")
        .about("Shows a whole fleet under load in one process")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .default_value("dansk")
                .value_parser(|text: &str| text.parse::<Deployment>())
                .help("dansk or tickworks"),
        )
        .arg(number("seconds", "20", "How long the load lasts"))
        .arg(number("routers", "9", "Number of routers"))
        .arg(number("seed", "1", "Seed of the load"))
}
