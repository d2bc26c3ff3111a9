//! The configurations that operators write during a run, and their routes.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Instant;

use serde_json::json;

use crate::fleet::SoakFleet;

impl SoakFleet {
    /// Writes the next configuration. The routes of the first two of four addresses never
    /// change, the third address alternates between the services, and the fourth has a
    /// route only in every other configuration.
    pub fn write_configuration(&self) {
        *self.configuration_version.borrow_mut() += 1;
        let version = *self.configuration_version.borrow();
        let is_odd = version % 2 == 1;
        let mut services = vec![(target_address(0), "one"), (target_address(1), "two")];
        services.push((target_address(2), if is_odd { "one" } else { "two" }));
        if is_odd {
            services.push((target_address(3), "one"));
        }
        let routes: Vec<_> = services
            .iter()
            .map(|(target, service)| {
                json!({
                    "host": target.ip(), "prefix": format!("/{}/", target.port()),
                    "type": "safe", "timeoutMs": 2_000, "service": service,
                })
            })
            .collect();
        *self.configuration.borrow_mut() = json!({
            "version": version * 3, "routes": routes, "limits": { "idleTimeoutMs": 15_000 },
            "services": [
                { "name": "one", "healthCheckPath": "/healthz" },
                { "name": "two", "healthCheckPath": "/healthz" },
            ],
        });
        self.rewrite_configuration();
        let services = services
            .into_iter()
            .map(|(target, service)| (target, service.to_owned()))
            .collect();
        self.checker
            .borrow_mut()
            .record_configuration(Instant::now(), services);
    }

    /// Returns the version of the newest configuration.
    pub fn newest_version(&self) -> u64 {
        self.configuration.borrow()["version"].as_u64().unwrap_or(0)
    }

    /// Writes the newest configuration, again if the store has lost it.
    pub fn rewrite_configuration(&self) {
        self.store.write_configuration(&self.configuration.borrow());
    }
}

/// Returns the address with the given number to which callers send packets.
pub fn target_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1 + number), 443)
}

/// Returns the service of the first backend server of a host.
pub fn initial_service(host: usize) -> &'static str {
    if host.is_multiple_of(2) { "one" } else { "two" }
}
