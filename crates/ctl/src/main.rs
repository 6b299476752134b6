//! The command line `dunlinctl`; see the library for what it does.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    dunlinward_ctl::run(
        std::env::args_os(),
        &mut io::stdout().lock(),
        &mut io::stderr().lock(),
    )
    .into()
}
