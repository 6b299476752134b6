//! How often engines are asked what they keep.

use std::time::Duration;

use dunlinward_path::memories::pause;

const INTERVAL: Duration = Duration::from_millis(400);

/// An owner asks nine engines in 0.4 s on a quarter of a core; on an eighth it takes longer, and
/// 60 engines are too many for half a core: knowing little of them is better than being behind.
#[test]
fn an_owner_asks_only_as_many_engines_as_its_processor_carries() {
    let round = |engines, millicores| {
        let pause = pause(INTERVAL, engines, millicores)?;
        u32::try_from(engines)
            .ok()
            .map(|it| (pause * it).as_millis())
    };
    assert_eq!(round(9, 250), Some(399));
    assert_eq!(round(6, 125), Some(480));
    assert_eq!(round(9, 125), None);
    assert_eq!(round(25, 500), Some(500));
    assert_eq!(round(60, 500), None);
    assert_eq!(round(0, 500), None);
}
