//! The services, processes and settings of a test fleet.

/// A service of a test fleet.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Number of hosts of the service.
    pub host_count: u8,
    /// Number of requests that can run at once on a host.
    pub slots: u16,
}

/// The plan of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Number of balancers.
    pub balancer_count: u8,
    /// Services of the fleet.
    pub services: Vec<ServicePlan>,
    /// Time that a request takes at a backend server, in milliseconds.
    pub work_millis: u64,
    /// Additional arguments of the fabric, such as `--loss 0.01`.
    pub fabric_arguments: Vec<String>,
    /// Additional lines in the settings of each daemon.
    pub extra_settings: String,
}

impl FleetPlan {
    /// Returns a plan with three balancers and two services of three and two hosts.
    pub fn small() -> Self {
        let service = |name, host_count| ServicePlan {
            name,
            host_count,
            slots: 3,
        };
        Self {
            balancer_count: 3,
            services: vec![service("leerplein", 3), service("diplomakluis", 2)],
            work_millis: 20,
            fabric_arguments: Vec::new(),
            extra_settings: String::new(),
        }
    }
}
