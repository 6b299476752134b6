//! The binary `dunlinward`: one router, its settings and its end.

use std::process::ExitCode;
use std::time::Duration;

use dunlinward_router::{Router, flags, logs, start};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// How often the end of a drain that operators began is looked for.
const LOOK: Duration = Duration::from_millis(100);

/// First word of the command line that starts a router on the users' platform.
const PLATFORM: &str = "platform";

fn main() -> ExitCode {
    if std::env::args_os().nth(1).is_some_and(|it| it == PLATFORM) {
        return platform();
    }
    let secret = std::env::var(flags::FLEET_KEY).ok();
    let flags = match flags::parse(std::env::args_os(), secret) {
        Ok(flags) => flags,
        Err(err) => err.exit(),
    };
    finish(run(flags))
}

/// Runs a router on the users' platform.
fn platform() -> ExitCode {
    let arguments = std::env::args_os().skip(1);
    match dunlinward_path::flags::parse("dunlinward platform", arguments) {
        Ok(flags) => finish(dunlinward_adapter::program::run(&flags).map_err(Into::into)),
        Err(err) => err.exit(),
    }
}

fn finish(result: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("dunlinward: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: flags::Flags) -> Result<(), Box<dyn std::error::Error>> {
    logs::init(flags.format, flags.level)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let router = start(flags.settings)?;
    log::info!(
        "callers {}, operators {}, links {}",
        router.callers_address(),
        router.operators_address(),
        router.link_address()
    );
    wait(&router, &mut signals);
    if router.drain() {
        log::info!("drained");
    } else {
        log::warn!("the drain timeout is over; what still runs is cut");
    }
    router.stop();
    Ok(())
}

/// Waits for a signal or for a drain that operators began.
fn wait(router: &Router, signals: &mut Signals) {
    while signals.pending().next().is_none() && !router.draining() {
        std::thread::sleep(LOOK);
    }
}
