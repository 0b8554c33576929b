//! Settings of a process on a platform that runs fleets of workers.

use masticfall_entry::fleet::FleetSettings;

/// Guards against the platform's maximum being lost where the leases given are shorter.
#[test]
fn maximum_of_worker_leases_is_kept_beside_the_shorter_lease() {
    let addresses = ["callers", "readiness", "peers", "metrics", "store", "machines"];
    let addresses = addresses.map(|key| format!("{key} = 127.0.0.1:9\n")).concat();
    for (platform_ms, lease_ms) in [(10_000, 6_000), (6_000, 6_000), (4_000, 4_000)] {
        let text = format!(
            "[fleet]\nname = a\ndata_centre = dc\n{addresses}worker_lease_ms = {platform_ms}\n"
        );
        let settings = FleetSettings::read(&text).expect("valid settings");
        assert_eq!(
            (settings.worker_lease_ms, settings.max_worker_lease_ms),
            (lease_ms, platform_ms)
        );
    }
}
