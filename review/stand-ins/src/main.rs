//! Runs one case of the review: `review-stand-ins CASE RECORD`, with `TROUBLE=0` in the
//! environment without its disruption. Ends with 1 if a rule was broken, 0 if not, and 2 if the
//! case could not run.

mod caller;
mod crowd;
mod net;
mod packet;
mod server;
mod store;

use std::net::Ipv4Addr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use caller::Caller;
use caller::Counts;
use caller::Router;
use net::APP;
use net::CONTROL;
use net::Net;
use net::Process;
use net::call;
use net::unix_millis;
use server::OpenFlows;
use server::Openings;
use server::Server;
use server::beat_body;
use store::Store;

const ZONES: [&str; 2] = ["a", "b"];
const ROUTE: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);
const ORDERS: (Ipv4Addr, u16) = (ROUTE, 443);
/// `coldStartS` of the service.
const COLD_SECONDS: u64 = 10;
/// `coldPerS` of the service.
const COLD_PER_SECOND: usize = 40;
/// What a cold server may get in a second: `coldPerS` x `coldOver` (1.5) + `coldSlack` (5).
const COLD_LIMIT: usize = COLD_PER_SECOND * 3 / 2 + 5;
const SHEETS: (Ipv4Addr, u16) = (ROUTE, 8443);

/// A small deployment: two balancers, four hosts with a server each, and callers.
struct Deployment {
    net: Arc<Net>,
    _store: Store,
    balancers: Vec<Process>,
    _hosts: Vec<Process>,
    _servers: Vec<Arc<Server>>,
    router: Arc<Router>,
    open_flows: Arc<OpenFlows>,
    openings: Arc<Openings>,
    counts: Arc<Counts>,
    is_over: Arc<AtomicBool>,
}

impl Deployment {
    fn start(
        net: Arc<Net>,
        balancer_octets: &[u8],
        places: &[(u8, &str, (Ipv4Addr, u16))],
        work: Duration,
    ) -> std::io::Result<Self> {
        let store = Store::default();
        store.write("op/config", &configuration(7));
        store.start(net.at(net::STORE_OCTET, net::STORE))?;
        let mut balancers = Vec::new();
        for (index, octet) in balancer_octets.iter().copied().enumerate() {
            let settings = net.settings("balancer", octet, ZONES[index % 2], None);
            balancers.push(net.start(&format!("balancer-{octet}"), &settings)?);
        }
        let open_flows = Arc::new(OpenFlows::default());
        let openings = Arc::new(Openings::default());
        let mut hosts = Vec::new();
        let mut servers = Vec::new();
        for (index, (octet, service, target)) in places.iter().copied().enumerate() {
            let settings = net.settings("host", octet, ZONES[index % 2], Some(service));
            hosts.push(net.start(&format!("host-{octet}"), &settings)?);
            servers.push(Server::start(
                &net,
                &open_flows,
                &openings,
                octet,
                service,
                target,
                work,
                Duration::ZERO,
            )?);
        }
        Ok(Self {
            router: Router::start(&net, balancer_octets),
            net,
            _store: store,
            balancers,
            _hosts: hosts,
            _servers: servers,
            open_flows,
            openings,
            counts: Arc::new(Counts::default()),
            is_over: Arc::new(AtomicBool::new(false)),
        })
    }

    /// Waits until all balancers serve.
    fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while self.router.ready_count() < self.balancers.len() {
            if started.elapsed() > Duration::from_secs(15) {
                return false;
            }
            sleep(Duration::from_millis(20));
        }
        // All servers have sent two heartbeats by then.
        sleep(Duration::from_secs(2));
        true
    }

    fn start_callers(&self) -> std::io::Result<()> {
        for octet in 101..109 {
            let target = if octet < 107 { ORDERS } else { SHEETS };
            let caller = Caller {
                net: self.net.clone(),
                router: self.router.clone(),
                open_flows: self.open_flows.clone(),
                counts: self.counts.clone(),
                octet,
                target,
                flow_count: 4,
                pause: Duration::from_millis(700),
                is_over: self.is_over.clone(),
            };
            caller.start()?;
        }
        Ok(())
    }

    fn finish(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(200));
        let load = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
        self.net.log(&format!(
            "flows opened {}, not opened {}; requests answered {}, unanswered {}; resets {}; \
             rules broken {}",
            load(&self.counts.opened),
            load(&self.counts.not_opened),
            load(&self.counts.answered),
            load(&self.counts.unanswered),
            load(&self.counts.resets),
            self.net.broken_count(),
        ));
    }
}

fn configuration(version: u64) -> String {
    let route = |port: u16, kind: &str, service: &str| {
        format!(
            "{{\"host\":\"{ROUTE}\",\"prefix\":\"/{port}/\",\"type\":\"{kind}\",\
             \"timeoutMs\":1500,\"targetLatencyMs\":250,\"priority\":1,\"maxAttempts\":2,\
             \"service\":\"{service}\"}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"orders\",\
         \"healthCheckPath\":\"/health\",\"coldStartS\":{COLD_SECONDS}.0,\"coldPerS\":{COLD_PER_SECOND}.0}},{{\"name\":\"sheets\",\"healthCheckPath\":\"/health\"}}],\
         \"limits\":{{\"idleTimeoutMs\":30000}}}}",
        route(ORDERS.1, "unsafe", "orders"),
        route(SHEETS.1, "download", "sheets"),
    )
}

/// A ping of another writer, which names a service that the configuration does not have, comes
/// to the host at 11.
fn other_writer(deployment: &Deployment, has_trouble: bool) -> std::io::Result<()> {
    deployment.start_callers()?;
    sleep(Duration::from_secs(10));
    if has_trouble {
        let net = &deployment.net;
        let body = beat_body("billing", net.at(11, APP), "ready", 1, unix_millis(), 0);
        let path = "/Instances.Heartbeat/i-other";
        let status = call(net.at(11, CONTROL), "POST", path, &body).map(|answer| answer.0);
        net.log(&format!(
            "another writer sends to {}: POST {path} {body}: {status:?}",
            net.at(11, CONTROL)
        ));
    }
    sleep(Duration::from_secs(10));
    Ok(())
}

/// Starts callers that open `per_second` flows to the first service, one for each request.
fn start_crowd(deployment: &Deployment, per_second: f64) -> std::io::Result<()> {
    const CALLERS: u8 = 30;
    for octet in 101..101 + CALLERS {
        let crowd = crowd::Crowd {
            net: deployment.net.clone(),
            router: deployment.router.clone(),
            open_flows: deployment.open_flows.clone(),
            openings: deployment.openings.clone(),
            counts: deployment.counts.clone(),
            octet,
            target: ORDERS,
            interval: Duration::from_secs_f64(f64::from(CALLERS) / per_second),
            is_over: deployment.is_over.clone(),
        };
        crowd.start()?;
    }
    Ok(())
}

/// Servers are added while callers are served, and are cold at first.
fn added_servers(deployment: &mut Deployment, has_trouble: bool) -> std::io::Result<()> {
    const ADDED: std::ops::Range<u8> = 40..52;
    start_crowd(deployment, 1_000.0)?;
    sleep(Duration::from_secs(4));
    let mut added = Vec::new();
    for octet in ADDED {
        if has_trouble {
            let net = &deployment.net;
            let settings =
                net.settings("host", octet, ZONES[usize::from(octet) % 2], Some("orders"));
            let process = net.start(&format!("host-{octet}"), &settings)?;
            // The server starts a moment after the process beside it.
            sleep(Duration::from_millis(100));
            let (flows, openings) = (&deployment.open_flows, &deployment.openings);
            let work = Duration::from_millis(5);
            let cold = Duration::from_secs(COLD_SECONDS);
            let server = Server::start(net, flows, openings, octet, "orders", ORDERS, work, cold)?;
            added.push((server, process));
        }
        sleep(Duration::from_secs(2));
    }
    sleep(Duration::from_secs(2));
    for (server, _) in &added {
        let until = server.started + Duration::from_secs(COLD_SECONDS);
        let (most, start) = deployment.openings.most_in_a_second(server.octet, until);
        let age = start.map_or(0, |start| {
            start.saturating_duration_since(server.started).as_millis()
        });
        let line = format!(
            "server {} at the age of {age} ms got {most} opening packets in one second; \
             {COLD_LIMIT} are allowed",
            server.id
        );
        if most > COLD_LIMIT {
            deployment.net.broke(&format!("FAILBACK: {line}"));
        } else {
            deployment.net.log(&line);
        }
    }
    Ok(())
}

fn run(case: &str, record: &str) -> std::io::Result<u8> {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let net = Arc::new(Net::reserve(record)?);
    net.log(&format!("case {case}, disruption: {has_trouble}"));
    let folder = net.folder.clone();
    let (balancers, hosts, work): (&[u8], _, _) = match case {
        "added-servers" => (&[1, 2, 3], 4, 5),
        _ => (&[1, 2], 3, 15),
    };
    let mut places: Vec<(u8, &str, (Ipv4Addr, u16))> = (0..hosts)
        .map(|number| (11 + number, "orders", ORDERS))
        .collect();
    places.push((90, "sheets", SHEETS));
    let mut deployment = Deployment::start(net, balancers, &places, Duration::from_millis(work))?;
    if !deployment.wait_ready() {
        deployment.net.log("the balancers did not become ready");
        return Ok(2);
    }
    match case {
        "other-writer" => other_writer(&deployment, has_trouble)?,
        "added-servers" => added_servers(&mut deployment, has_trouble)?,
        _ => return Ok(2),
    }
    deployment.finish();
    let answered = deployment.counts.answered.load(Ordering::Relaxed);
    let broken = deployment.net.broken_count();
    drop(deployment);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    if answered == 0 {
        return Ok(2);
    }
    Ok(u8::from(broken > 0))
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record] = words.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    match run(case, record) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("review: {error}");
            ExitCode::from(2)
        }
    }
}
