//! Interval between queries to the caches of engines.

use std::time::Duration;

use dunlinward_path::cache_polling::query_interval;

const INTERVAL: Duration = Duration::from_millis(400);

/// An owner polls nine engines in 0.4 s on a quarter of a core. On an eighth a round takes longer,
/// and 60 engines are too many for half a core: unknown caches cost less than an overloaded router.
#[test]
fn owner_polls_no_more_engines_than_its_processor_can_handle() {
    let round = |engines, millicores| {
        let query_interval = query_interval(INTERVAL, engines, millicores)?;
        u32::try_from(engines)
            .ok()
            .map(|it| (query_interval * it).as_millis())
    };
    assert_eq!(round(9, 250), Some(399));
    assert_eq!(round(6, 125), Some(480));
    assert_eq!(round(9, 125), None);
    assert_eq!(round(25, 500), Some(500));
    assert_eq!(round(60, 500), None);
    assert_eq!(round(0, 500), None);
}
