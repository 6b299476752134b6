//! Trial runner while tuning.
use dunlinward_kernel::settings::Admission;
use dunlinward_trial::report::Report;
use dunlinward_trial::spec::Trial;
use std::time::Duration;

fn main() {
    let mut t = Trial::new();
    let args: Vec<String> = std::env::args().skip(1).collect();
    for pair in args.chunks(2) {
        let v = pair.get(1).cloned().unwrap_or_default();
        match pair[0].as_str() {
            "routers" => t.routers = v.parse().unwrap(),
            "targets" => t.targets = v.parse().unwrap(),
            "slots" => t.slots = v.parse().unwrap(),
            "customers" => t.customers = v.parse().unwrap(),
            "backlogged" => t.backlogged = v.parse().unwrap(),
            "domains" => t.domains = v.parse().unwrap(),
            "services" => t.services = v.parse().unwrap(),
            "skew" => t.skew = v.parse().unwrap(),
            "seed" => t.seed = v.parse().unwrap(),
            "flood" => t.flood = v == "1",
            "partition" => t.partition = Duration::from_secs(v.parse().unwrap()),
            "seconds" => t.length = Duration::from_secs(v.parse().unwrap()),
            "round" => t.round = Duration::from_millis(v.parse().unwrap()),
            "gap" => t.gap_permille = v.parse().unwrap(),
            "speed" => t.speed = v.parse().unwrap(),
            "light" => t.light_permille = v.parse().unwrap(),
            "policy" => {
                t.admission = match v.as_str() {
                    "naive" => Admission::Naive,
                    "static" => Admission::Static,
                    _ => Admission::Owner,
                }
            }
            o => panic!("{o}"),
        }
    }
    println!("{}", serde_json::to_string_pretty(&Report::of(&t)).unwrap());
}
