//! What a fleet is made of.

/// One service of a fleet.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// The name.
    pub name: &'static str,
    /// How many hosts it has.
    pub host_count: u8,
    /// Requests that run at once on a host.
    pub slots: u16,
}

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// How many balancers run.
    pub balancer_count: u8,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Time that a request takes at a backend server, in milliseconds.
    pub work_millis: u64,
    /// More arguments of the fabric, such as `--loss 0.01`.
    pub fabric_arguments: Vec<String>,
    /// More lines of the settings of each daemon.
    pub extra_settings: String,
}

impl FleetPlan {
    /// Returns a plan of two services with few hosts.
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
