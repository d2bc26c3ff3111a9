//! Sets up a deployment: addresses, settings, processes, heartbeats, probes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::net::Clock;
use crate::process::Program;
use crate::store::Store;
use crate::world::Record;
use crate::world::Rotation;
use crate::world::APP_PORT;
use crate::world::OUTBOUND_PORT;
use crate::world::PACKET_PORT;

const READY_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const METRICS_PORT: u16 = 9464;
const STORE_PORT: u16 = 8169;
const GUARD_PORT: u16 = 30_009;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const SERVICE: &str = "huvo11a";
pub const OTHER_SERVICE: &str = "wuno96b";
const ZONES: [&str; 3] = ["thapathali", "balaju", "lalitpur"];

/// The present lifetime of a host.
pub struct Life {
    pub is_up: bool,
    pub service: &'static str,
    number: u32,
    born: u128,
    sequence: u64,
    /// When the last ping was sent.
    pub pinged_at: Instant,
    /// Whether pings are held up on their way.
    pub holds_pings: bool,
    /// Paths and bodies of the pings that are held up.
    pub held: Vec<(String, String)>,
}

impl Life {
    fn new(service: &'static str) -> Self {
        Self {
            is_up: true,
            service,
            number: 0,
            born: unix_millis(),
            sequence: 0,
            pinged_at: Instant::now(),
            holds_pings: false,
            held: Vec::new(),
        }
    }

    /// Starts the next lifetime, under an `id` of its own.
    pub fn begin_next(&mut self) {
        self.is_up = true;
        self.number += 1;
        self.born = unix_millis();
        self.sequence = 0;
        self.holds_pings = false;
    }
}

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// Answers liveness checks while the host runs; nothing listens while it does not.
fn listen(address: Ipv4Addr, life: &Mutex<Life>) {
    let mut listener: Option<TcpListener> = None;
    loop {
        if !life.lock().unwrap().is_up {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind((address, APP_PORT)).ok();
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
            }
        }
        while let Some(Ok((mut stream, _))) = listener.as_ref().map(TcpListener::accept) {
            let _ = stream.set_nonblocking(false);
            std::thread::spawn(move || {
                let mut buffer = Vec::new();
                while http::read_request(&mut stream, &mut buffer).is_some() {
                    http::write_response(&mut stream, 200, "{}");
                }
            });
        }
        std::thread::sleep(Duration::from_millis(3));
    }
}

/// Sends a ping every [`HEARTBEAT`], and at once when a lifetime begins.
fn send_pings(index: usize, address: Ipv4Addr, life: &Mutex<Life>) {
    let zone = ZONES[index % 3];
    let mut last_number = None;
    loop {
        let ping = {
            let mut life = life.lock().unwrap();
            let is_due = last_number != Some(life.number) || life.pinged_at.elapsed() >= HEARTBEAT;
            if life.is_up && is_due {
                last_number = Some(life.number);
                life.pinged_at = Instant::now();
                life.sequence += 1;
                let path = format!("/Instances.Heartbeat/i-{index}-{}", life.number);
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{address}:{APP_PORT}\",\
                     \"zone\":\"{zone}\",\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\
                     \"coldRemainingMs\":0,\"sequence\":{},\"born\":{}}}",
                    life.service, life.sequence, life.born
                );
                if life.holds_pings {
                    life.held.push((path, body));
                    None
                } else {
                    Some((path, body))
                }
            } else {
                None
            }
        };
        if let Some((path, body)) = ping {
            send_ping(address, &path, &body);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends one ping to the daemon on a host's machine, and returns the status.
pub fn send_ping(address: Ipv4Addr, path: &str, body: &str) -> Option<u16> {
    let to = SocketAddr::from((address, CONTROL_PORT));
    http::call(to, "POST", path, body, Duration::from_secs(1))
}

pub struct Fleet {
    pub lives: Vec<Arc<Mutex<Life>>>,
    pub clock: Clock,
    pub record: Record,
    pub rotation: Rotation,
    pub balancers: Vec<Arc<Mutex<Program>>>,
    pub daemons: Vec<Arc<Mutex<Program>>>,
    pub hosts: Vec<Ipv4Addr>,
    pub callers: Vec<Ipv4Addr>,
    pub route: Ipv4Addr,
    _guard: TcpListener,
    folder: PathBuf,
}

/// Returns the folder of the project.
fn project() -> PathBuf {
    std::env::var("PROJECT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

impl Fleet {
    /// Starts a deployment with a host for each of the services. Zones are dealt in turn.
    pub fn start(balancer_count: u8, services: &[&'static str], caller_count: u8) -> Option<Self> {
        let host_count = services.len() as u8;
        let clock = Clock::start();
        let first = 20 + (std::process::id() % 200) as u8;
        let (net, guard) = (0..200u16).find_map(|offset| {
            let net = 20 + ((u16::from(first) - 20 + offset) % 200) as u8;
            let guard = TcpListener::bind((Ipv4Addr::new(127, net, 0, 1), GUARD_PORT)).ok()?;
            Some((net, guard))
        })?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let path = project().join("target/release/hyssopstaird");
        if !path.exists() {
            eprintln!("{} is missing", path.display());
            return None;
        }
        let address = |kind: u8, number: u8| Ipv4Addr::new(127, net, kind, number + 1);
        let store_address = SocketAddr::from((address(5, 0), STORE_PORT));
        let store = Store::default();
        let route = address(9, 0);
        store.write("op/config", &configuration(7, route));
        store.serve(store_address);
        let seeds: Vec<String> = (0..balancer_count.min(3))
            .map(|number| format!("\"{}:{CONTROL_PORT}\"", address(1, number)))
            .collect();
        let common = |name: &str, role: &str, number: u8, ip: Ipv4Addr| {
            format!(
                "name: \"{name}\"\nrole: {role}\nzone: \"{}\"\npackets: \"{ip}:{PACKET_PORT}\"\n\
                 readiness: \"{ip}:{READY_PORT}\"\nmetrics: \"{ip}:{METRICS_PORT}\"\n\
                 inner_ports: [7720,7735]\ncontacts: [{}]\nstore: \"{store_address}\"\n\
                 max_flow_seconds: 60\ngrace_seconds: 6\nevacuation: false\n",
                ZONES[usize::from(number) % 3],
                seeds.join(","),
            )
        };
        let create = |name: &str, ip: Ipv4Addr, settings: &str| {
            Arc::new(Mutex::new(Program::new(name, ip, settings, &path, &folder)))
        };
        let balancers: Vec<_> = (0..balancer_count)
            .map(|number| {
                let (name, ip) = (format!("edge-{}", number + 1), address(1, number));
                create(&name, ip, &common(&name, "balancer", number, ip))
            })
            .collect();
        let hosts: Vec<Ipv4Addr> = (0..host_count).map(|number| address(2, number)).collect();
        let daemons: Vec<_> = (0..host_count)
            .map(|number| {
                let (name, ip) = (format!("side-{}", number + 1), address(2, number));
                let service = services[usize::from(number)];
                let settings = host_settings(&common(&name, "host", number, ip), ip, service);
                create(&name, ip, &settings)
            })
            .collect();
        let rotation: Rotation = Arc::new(Mutex::new(
            (0..balancer_count)
                .map(|number| (address(1, number), 2))
                .collect(),
        ));
        let fleet = Self {
            clock,
            record: Record::default(),
            rotation,
            lives: services
                .iter()
                .map(|service| Arc::new(Mutex::new(Life::new(service))))
                .collect(),
            balancers,
            daemons,
            hosts,
            callers: (0..caller_count).map(|number| address(3, number)).collect(),
            route,
            _guard: guard,
            folder,
        };
        fleet.start_hosts();
        for program in fleet.balancers.iter().chain(&fleet.daemons) {
            program.lock().unwrap().start();
        }
        fleet.start_probes();
        Some(fleet)
    }

    /// Starts what hosts do over TCP: they answer liveness checks and send pings.
    fn start_hosts(&self) {
        for (index, address) in self.hosts.iter().copied().enumerate() {
            let life = Arc::clone(&self.lives[index]);
            std::thread::spawn(move || listen(address, &life));
            let life = Arc::clone(&self.lives[index]);
            std::thread::spawn(move || send_pings(index, address, &life));
        }
    }

    /// Starts the routers' probes, twice a second for each balancer.
    fn start_probes(&self) {
        for index in 0..self.balancers.len() {
            let rotation = Arc::clone(&self.rotation);
            std::thread::spawn(move || loop {
                let address = rotation.lock().unwrap()[index].0;
                let to = SocketAddr::from((address, READY_PORT));
                let limit = Duration::from_millis(450);
                let status = http::call(to, "GET", "/readyz", "", limit);
                {
                    let mut balancers = rotation.lock().unwrap();
                    let misses = balancers[index].1;
                    balancers[index].1 = match status {
                        Some(200) => 0,
                        _ => misses.saturating_add(1),
                    };
                }
                std::thread::sleep(Duration::from_millis(500));
            });
        }
    }

    pub fn are_all_ready(&self) -> bool {
        self.rotation
            .lock()
            .unwrap()
            .iter()
            .all(|(_, misses)| *misses == 0)
    }

    /// Ends all processes and writes the record.
    pub fn finish(&self, folder: &Path, summary: &str) {
        for program in self.balancers.iter().chain(&self.daemons) {
            program.lock().unwrap().kill();
        }
        let mut lines = self.record.lock().unwrap().clone();
        lines.push(summary.to_owned());
        let _ = std::fs::write(folder.join("record.txt"), lines.join("\n") + "\n");
        println!("{summary}");
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("{}", self.folder.display());
        }
    }
}

pub fn note(record: &Record, clock: Clock, text: &str) {
    let line = format!("{:9.3} {text}", clock.now() as f64 / 1e6);
    record.lock().unwrap().push(line);
}

/// Returns the settings of the daemon beside a host.
fn host_settings(common: &str, ip: Ipv4Addr, service: &str) -> String {
    format!(
        "{common}\"address_reuse_seconds\": 2\nserver_pace: true\nserver:\n  service: \
         \"{service}\"\n  address: \"{ip}:{APP_PORT}\"\n  outbound: \"{ip}:{OUTBOUND_PORT}\"\n  \
         heartbeats: \"{ip}:{CONTROL_PORT}\"\n"
    )
}

/// The operator's configuration: a route for requests that may be repeated, one for those that may
/// not, and one for the other service.
fn configuration(version: u64, route: Ipv4Addr) -> String {
    let routes = [
        (443, "safe", SERVICE),
        (8080, "unsafe", SERVICE),
        (9090, "safe", OTHER_SERVICE),
    ];
    let routes: Vec<String> = routes
        .iter()
        .map(|(port, kind, service)| {
            format!(
                "{{\"name\":\"r-{port}\",\"host\":\"{route}\",\"prefix\":\"/{port}/\",\"type\":\"{kind}\"\
                 ,\"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":2,\"service\":\"{service}\",\
                 \"maxAttempts\":2}}"
            )
        })
        .collect();
    let services = [SERVICE, OTHER_SERVICE].map(|service| {
        format!(
            "{{\"name\":\"{service}\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":2000,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":\
         16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
