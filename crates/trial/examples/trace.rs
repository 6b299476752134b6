//! Trace while tuning.
use dunlinward_trial::fleet::Fleet;
use dunlinward_trial::spec::Trial;
use dunlinward_kernel::time::Instant;
use dunlinward_kernel::id::{Pool,Customer};
fn main() {
    let mut t = Trial::new();
    t.gap_permille = std::env::args().nth(1).and_then(|v| v.parse().ok()).unwrap_or(500);
    let mut f = Fleet::new(t.clone());
    for s in 0..60u64 {
        f.run(Instant::from_micros(3_000_000 + s * 1_000_000));
        let r = f.received();
        let share=[1.,1.,2.,4.];
        let v: Vec<String> = (0..4).map(|c| format!("{:7.0}", r[c] as f64/share[c])).collect();
        let k: Vec<String> = (0..4).map(|c| format!("{:7.0}", f.node(0).book().virtual_time(Pool::new(0),Customer::new(c)) as f64/1024.)).collect();
        println!("{s:3} recv {} | node0 {} gap {:.0} msgs {:?}", v.join(" "), k.join(" "), f.meter.gap(), f.meter.kinds.get("grant"));
    }
}
