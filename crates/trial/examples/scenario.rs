//! Plays scripts and prints what they say.

use std::{env, fs, process};

use dunlinward_trial::scenario::play;

fn main() {
    let mut failed = 0;
    for path in env::args().skip(1) {
        let started = std::time::Instant::now();
        let text = fs::read_to_string(&path).expect("a script");
        match play::play(&text) {
            Ok(outcome) => {
                println!(
                    "{path} ({:.1}s)\n{}",
                    started.elapsed().as_secs_f64(),
                    outcome.text
                );
                failed += outcome.failed;
            }
            Err(error) => {
                println!("{path}: {error}");
                failed += 1;
            }
        }
    }
    process::exit(i32::from(failed > 0));
}
