//! The cases. Each starts a small deployment: a store, 2 balancers in 2 zones, hosts with
//! their servers, and consumers.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::consumer::{Consumer, End, OpenFlow, Router, Tally};
use crate::fleet::{processor_seconds, Daemon, Fields, Network};
use crate::server::{Lifetime, Shared, CONTROL_PORT, MAX_CONNECTIONS, SERVER_PORT};
use crate::store::Store;
use crate::util::{call, random, Record};

/// `contactMs` of the small sites, in seconds.
const CONTACT: f64 = 4.0;

/// Addresses of the routes.
const ALPHA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const BETA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);

/// Zones of the machines.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];

type Failure = Box<dyn std::error::Error>;

/// A running deployment.
struct Deployment {
    shared: Arc<Shared>,
    network: Network,
    store: Store,
    balancers: Vec<Daemon>,
    hosts: Vec<Daemon>,
    servers: Vec<Lifetime>,
    router: Router,
    tally: Arc<Tally>,
    directory: PathBuf,
    threads: Vec<JoinHandle<()>>,
    consumer_count: u8,
}

fn configuration(version: u64) -> String {
    let route = |address: SocketAddrV4, service: &str| {
        format!(
            "{{\"host\":\"{}\",\"prefix\":\"/{}/\",\"service\":\"{service}\",\"type\":\"unsafe\",\"timeoutMs\":4000,\"targetLatencyMs\":200,\"priority\":1,\"maxAttempts\":1}}",
            address.ip(),
            address.port()
        )
    };
    let service = |name: &str| format!("{{\"name\":\"{name}\",\"healthCheckPath\":\"/healthz\"}}");
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"idleTimeoutMs\":30000}}}}",
        route(ALPHA, "alpha"),
        route(BETA, "beta"),
        service("alpha"),
        service("beta")
    )
}

/// Starts the balancer with this number.
fn start_balancer(network: &Network, directory: &Path, number: u8, seeds: &[Ipv4Addr]) -> Result<Daemon, Failure> {
    let fields = Fields {
        name: format!("edge-{number}"),
        zone: ZONES[usize::from(number) % 2],
        ip: network.balancer(number),
        service: "",
        seeds: seeds.to_vec(),
        store: network.store(),
        has_evacuation: false,
    };
    let mut daemon = Daemon::create(directory, "deploy/balancer.yaml", &fields)?;
    daemon.start()?;
    Ok(daemon)
}

impl Deployment {
    /// Starts the deployment and waits until it is ready. `services` names the service of each
    /// host's server.
    fn start(record_path: &str, services: &[&'static str]) -> Result<Self, Failure> {
        let network = Network::reserve().ok_or("no loopback network is free")?;
        let directory = std::env::temp_dir().join(format!("review-case-{:016x}", random()));
        std::fs::create_dir_all(&directory)?;
        let shared = Arc::new(Shared {
            record: Record::create(record_path)?,
            routes: vec![(ALPHA, "alpha"), (BETA, "beta")],
            is_over: Default::default(),
            has_ended: Default::default(),
            broken: Mutex::default(),
            owners: Mutex::default(),
        });
        let store = Store::default();
        store.start(network.store())?;
        store.write("op/config", &configuration(11));
        let seeds = vec![network.balancer(0), network.balancer(1)];
        let mut balancers = Vec::new();
        for number in 0..2_u8 {
            balancers.push(start_balancer(&network, &directory, number, &seeds)?);
        }
        let mut hosts = Vec::new();
        let mut servers = Vec::new();
        for (number, service) in services.iter().enumerate() {
            let fields = Fields {
                name: format!("side-{number}"),
                zone: ZONES[number % 2],
                ip: network.host(number as u8),
                service,
                seeds: seeds.clone(),
                store: network.store(),
                has_evacuation: false,
            };
            let mut daemon = Daemon::create(&directory, "deploy/host.yaml", &fields)?;
            daemon.start()?;
            if !daemon.wait_for_control(Duration::from_secs(5)) {
                return Err("a host process does not listen for pings".into());
            }
            hosts.push(daemon);
            servers.push(Lifetime::start(&shared, network.host(number as u8), service)?);
        }
        let addresses: Vec<Ipv4Addr> = balancers.iter().map(|daemon| daemon.ip).collect();
        let router = Router::start(&shared, &addresses);
        let deployment = Self {
            shared,
            network,
            store,
            balancers,
            hosts,
            servers,
            router,
            tally: Arc::default(),
            directory,
            threads: Vec::new(),
            consumer_count: 0,
        };
        for _ in 0..100 {
            if deployment.router.ready_count() == 2 {
                deployment.line("both balancers are ready");
                return Ok(deployment);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the balancers did not become ready".into())
    }

    fn line(&self, text: &str) {
        self.shared.record.line(text);
    }

    /// Starts a consumer that runs `work`.
    fn spawn_consumer(&mut self, work: impl FnOnce(Consumer, &Shared) + Send + 'static) -> Result<(), Failure> {
        let ip = self.network.consumer(self.consumer_count);
        self.consumer_count += 1;
        let consumer = Consumer::bind(ip, &self.router, &self.shared, &self.tally)?;
        let shared = self.shared.clone();
        self.threads.push(std::thread::spawn(move || work(consumer, &shared)));
        Ok(())
    }

    /// Starts consumers that each open a flow and send requests on it at the given times. A
    /// reset breaks the rule FLOW if the flow's server lives and nothing was disturbed for
    /// `contactMs`.
    fn keep_flows(&mut self, count: usize, times: &[f64], disturbed: &Arc<Mutex<f64>>) -> Result<(), Failure> {
        for _ in 0..count {
            let disturbed = disturbed.clone();
            let reset_shared = self.shared.clone();
            let times = times.to_vec();
            self.spawn_consumer(move |mut consumer, shared| {
                let on_reset = |flow: &OpenFlow| {
                    let key = (flow.source, flow.target);
                    let owner = reset_shared.owners.lock().unwrap().get(&key).cloned();
                    let since = reset_shared.record.now() - *disturbed.lock().unwrap();
                    let Some(owner) = owner.filter(|owner| owner.is_alive() && since >= CONTACT) else {
                        return;
                    };
                    reset_shared.break_rule(format!(
                        "FLOW: flow {} > {} is reset, its server {} lives, and the last disturbance was {since:.1} s ago",
                        flow.source, flow.target, owner.id
                    ));
                };
                keep_flow(&mut consumer, shared, ALPHA, &times, &on_reset);
            })?;
        }
        Ok(())
    }

    /// Restarts the process beside a server as planned: SIGTERM, its end within the grace
    /// period, and its start after a short delay, 0.15 s after a ping of the server is due.
    fn restart_host(&mut self, number: usize, server: &Lifetime) -> Result<(), Failure> {
        self.line(&format!("the process beside server {} gets SIGTERM", server.id));
        let host = &mut self.hosts[number];
        host.signal("TERM");
        if !host.wait_for_end(Duration::from_secs(6)) {
            return Err("the process did not end within its grace period".into());
        }
        self.shared.record.line("the process has ended");
        let ping_phase = (self.shared.record.now() - server.started_at).rem_euclid(1.2);
        std::thread::sleep(Duration::from_secs_f64(1.2 - ping_phase + 0.15));
        let host = &mut self.hosts[number];
        host.start()?;
        if !host.wait_for_control(Duration::from_secs(3)) {
            return Err("the process did not start".into());
        }
        self.line("the process has started again");
        Ok(())
    }

    /// Ends the run and returns the broken rules.
    fn finish(mut self) -> Result<Vec<String>, Failure> {
        self.shared.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.shared.has_ended.store(true, Ordering::SeqCst);
        for daemon in self.balancers.iter_mut().chain(&mut self.hosts) {
            if daemon.has_ended() {
                self.shared.break_rule(format!("a process at {} ended by itself", daemon.ip));
            }
        }
        for daemon in self.balancers.iter().chain(&self.hosts) {
            daemon.signal("KILL");
        }
        self.line(&format!(
            "requests: {} served, {} refused, {} reset, {} without an answer",
            self.tally.served.load(Ordering::SeqCst),
            self.tally.refused.load(Ordering::SeqCst),
            self.tally.reset.load(Ordering::SeqCst),
            self.tally.timed_out.load(Ordering::SeqCst)
        ));
        let broken = self.shared.broken.lock().unwrap().clone();
        let is_served = self.tally.served.load(Ordering::SeqCst) > 0;
        if is_served {
            Ok(broken)
        } else {
            Err("no request was served".into())
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.shared.has_ended.store(true, Ordering::SeqCst);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

pub fn run(name: &str, record_path: &str, has_trouble: bool) -> Result<Vec<String>, Failure> {
    match name {
        "late-ping" => late_ping(record_path, has_trouble),
        "clock-jump" => clock_jump(record_path, has_trouble),
        "full-server" => full_server(record_path, has_trouble),
        "new-edges" => new_edges(record_path, has_trouble),
        "foreign-ping" => foreign_ping(record_path, has_trouble),
        _ => Err(format!("no case is named {name}").into()),
    }
}

/// Opens a flow at the given time, and sends requests on it at the given times.
fn keep_flow(
    consumer: &mut Consumer,
    shared: &Shared,
    target: SocketAddrV4,
    times: &[f64],
    on_reset: &dyn Fn(&OpenFlow),
) {
    let Ok(mut flow) = consumer.open(target) else {
        return;
    };
    for time in times {
        shared.record.wait_until(*time);
        if shared.is_over.load(Ordering::SeqCst) {
            return;
        }
        if consumer.request(&mut flow, on_reset) != End::Served {
            return;
        }
    }
    consumer.close(&flow);
}

/// A process beside a server is restarted as planned. The first ping that reaches the new
/// process is one of the server's former lifetime, which a partition has held up.
fn late_ping(record_path: &str, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let mut deployment = Deployment::start(record_path, &["alpha", "alpha", "beta"])?;
    let shared = deployment.shared.clone();
    let start = shared.record.now();
    // The last ping of the first lifetime is held up by a partition; then the server crashes
    // and starts again.
    shared.record.wait_until(start + 2.0);
    let former = deployment.servers[0].clone();
    former.cut_pings(&shared);
    let (late_path, late_body) = former.next_ping();
    shared.record.line(&format!("ping of server {} is sent and held up", former.id));
    former.crash(&shared);
    shared.record.wait_until(start + 2.4);
    let present = Lifetime::start(&shared, former.ip, "alpha")?;
    let disturbed = Arc::new(Mutex::new(shared.record.now()));
    // Flows to both servers of the service, idle for some seconds.
    shared.record.wait_until(start + 3.0);
    let times = [start + 3.2, start + 3.5, start + 12.0, start + 12.5];
    deployment.keep_flows(16, &times, &disturbed)?;
    if has_trouble {
        shared.record.wait_until(start + 4.85);
        deployment.restart_host(0, &present)?;
        let control = SocketAddrV4::new(former.ip, CONTROL_PORT);
        let status = call(control, "POST", &late_path, &late_body, Duration::from_secs(1));
        shared.record.line(&format!("the late ping of server {} arrives: {status:?}", former.id));
        *disturbed.lock().unwrap() = shared.record.now();
    }
    shared.record.wait_until(start + 14.0);
    deployment.finish()
}

/// A process beside a server is restarted as planned. The first ping that reaches the new
/// process comes from another writer: its field `born` is no number, and it names another
/// service of the configuration.
fn foreign_ping(record_path: &str, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let mut deployment = Deployment::start(record_path, &["alpha", "alpha", "beta"])?;
    let shared = deployment.shared.clone();
    let start = shared.record.now();
    for number in 0..8_u64 {
        let target = if number % 4 == 0 { ALPHA } else { BETA };
        deployment.spawn_consumer(move |mut consumer, shared| {
            while !shared.is_over.load(Ordering::SeqCst) {
                if let Ok(mut flow) = consumer.open(target) {
                    if consumer.request(&mut flow, &|_| {}) == End::Served {
                        consumer.close(&flow);
                    }
                }
                std::thread::sleep(Duration::from_millis(50 + random() % 100));
            }
        })?;
    }
    shared.record.wait_until(start + 4.0);
    if has_trouble {
        let server = deployment.servers[0].clone();
        deployment.restart_host(0, &server)?;
        let control = SocketAddrV4::new(server.ip, CONTROL_PORT);
        for sequence in 1..=4 {
            let body = format!(
                "{{\"service\":\"beta\",\"address\":\"{}:{SERVER_PORT}\",\"zone\":\"z\",\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":null}}",
                deployment.network.store().ip()
            );
            let status = call(control, "POST", "/Instances.Heartbeat/i-writer", &body, Duration::from_secs(1));
            shared.record.line(&format!("ping of another writer, with born null: {status:?}"));
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    shared.record.wait_until(start + 10.0);
    let _ = &deployment.store;
    deployment.finish()
}

/// A server starts while the time of day on its machine is ahead. The clock jumps back, and the
/// process beside the server is restarted as planned.
fn clock_jump(record_path: &str, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let mut deployment = Deployment::start(record_path, &["alpha", "alpha", "beta"])?;
    let shared = deployment.shared.clone();
    let start = shared.record.now();
    shared.record.wait_until(start + 2.0);
    let former = deployment.servers[0].clone();
    former.crash(&shared);
    shared.record.wait_until(start + 2.4);
    let ahead_ms = if has_trouble { 2_000 } else { 0 };
    shared.record.line(&format!("the time of day on the server's machine is {ahead_ms} ms ahead"));
    let present = Lifetime::start_with_clock(&shared, former.ip, "alpha", ahead_ms)?;
    let disturbed = Arc::new(Mutex::new(shared.record.now()));
    shared.record.wait_until(start + 2.6);
    let times = [start + 2.7, start + 2.8, start + 10.0, start + 10.5];
    deployment.keep_flows(16, &times, &disturbed)?;
    if has_trouble {
        shared.record.wait_until(start + 3.0);
        shared.record.line("the time of day on the server's machine is right again");
        deployment.restart_host(0, &present)?;
        *disturbed.lock().unwrap() = shared.record.now();
    }
    shared.record.wait_until(start + 12.0);
    deployment.finish()
}

/// When one more consumer comes to the full server.
const LAST_COMER_AT: f64 = 10.0;

/// Number of consumers whose requests keep the server busy: one more than it has slots.
const BUSY_COUNT: usize = 4;

/// The only server of a service holds as many flows as it can and is busy when one more
/// consumer comes. Later the server is drained as planned.
fn full_server(record_path: &str, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let mut deployment = Deployment::start(record_path, &["alpha", "alpha", "beta"])?;
    let shared = deployment.shared.clone();
    let server = deployment.servers[2].clone();
    // Consumers that keep the server busy.
    for _ in 0..BUSY_COUNT {
        deployment.spawn_consumer(move |mut consumer, shared| {
            let Ok(mut flow) = consumer.open(BETA) else {
                return;
            };
            shared.record.wait_until(LAST_COMER_AT - 1.0);
            while shared.record.now() < LAST_COMER_AT + 0.5 {
                if consumer.request(&mut flow, &|_| {}) != End::Served {
                    return;
                }
            }
        })?;
    }
    std::thread::sleep(Duration::from_millis(300));
    // Consumers with open flows and pauses between their requests.
    let idle_count = MAX_CONNECTIONS - BUSY_COUNT - if has_trouble { 0 } else { 100 };
    let ip = deployment.network.consumer(200);
    let mut holder = Consumer::bind(ip, &deployment.router, &shared, &deployment.tally)?;
    let mut flows = Vec::new();
    while flows.len() < idle_count && shared.record.now() < LAST_COMER_AT - 1.0 {
        if let Ok(flow) = holder.open(BETA) {
            flows.push(flow);
        }
    }
    shared.record.line(&format!("{} flows are open and idle", flows.len()));
    if flows.len() < idle_count {
        return Err("the flows could not be opened".into());
    }
    server.set_work(100);
    let start = LAST_COMER_AT;
    shared.record.wait_until(start);
    // One more consumer.
    deployment.spawn_consumer(move |mut consumer, shared| {
        let end = consumer.open(BETA).map(|flow| flow.source);
        shared.record.line(&format!("the attempt of one more consumer ends: {end:?}"));
    })?;
    let process = deployment.hosts[2].id();
    let count = |text: &str| {
        shared.record.line(&format!(
            "{text}: server {} has got {} opening packets and returned {}; the process beside it has used {:.2} s of processor time",
            server.id,
            server.opening_count.load(Ordering::SeqCst),
            server.bounced_count.load(Ordering::SeqCst),
            processor_seconds(process)
        ));
    };
    count("before");
    shared.record.wait_until(start + 6.0);
    count("6 s later");
    server.drain(&shared);
    // The daemon may take seconds to confirm the ping that says so.
    let confirmed_at = loop {
        if let Some(confirmed_at) = server.drain_confirmed_at() {
            break confirmed_at;
        }
        if shared.record.now() > start + 26.0 {
            return Err("the drain was not confirmed in 20 s".into());
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    shared.record.wait_until(confirmed_at + 6.0);
    count("6 s after the confirmation of the drain");
    // An idle consumer sends its next request; the server closes the flow after the answer.
    if let Some(flow) = flows.first_mut() {
        holder.request(flow, &|_| {});
    }
    shared.record.wait_until(confirmed_at + 11.0);
    count("at the end");
    deployment.finish()
}

/// `recoveryS` of the small sites, in seconds.
const RECOVERY: f64 = 12.0;

/// All edge machines are lost for good at the same time; others with the same roles come at new
/// addresses.
fn new_edges(record_path: &str, has_trouble: bool) -> Result<Vec<String>, Failure> {
    let mut deployment = Deployment::start(record_path, &["alpha", "alpha", "beta"])?;
    let shared = deployment.shared.clone();
    // For each attempt, when it was begun and whether it was served.
    let attempts: Arc<Mutex<Vec<(f64, bool)>>> = Arc::default();
    for number in 0..10_u64 {
        let attempts = attempts.clone();
        let target = if number % 3 == 0 { BETA } else { ALPHA };
        deployment.spawn_consumer(move |mut consumer, shared| {
            while !shared.is_over.load(Ordering::SeqCst) {
                let sent_at = shared.record.now();
                let end = match consumer.open(target) {
                    Ok(mut flow) => {
                        let end = consumer.request(&mut flow, &|_| {});
                        consumer.close(&flow);
                        end
                    }
                    Err(end) => end,
                };
                shared.record.line(&format!("an attempt for {target} that began at {sent_at:.3} ends: {end:?}"));
                attempts.lock().unwrap().push((sent_at, end == End::Served));
                std::thread::sleep(Duration::from_millis(100 + random() % 100));
            }
        })?;
    }
    let start = shared.record.now();
    shared.record.wait_until(start + 6.0);
    let lost_at = shared.record.now();
    if has_trouble {
        shared.record.line("all edge machines are lost for good");
        let former: Vec<Ipv4Addr> = deployment.balancers.iter().map(|daemon| daemon.ip).collect();
        for daemon in &mut deployment.balancers {
            daemon.signal("KILL");
            daemon.wait_for_end(Duration::from_secs(2));
        }
        for ip in &former {
            deployment.router.remove(*ip);
        }
        shared.record.wait_until(lost_at + 3.0);
        let seeds = vec![deployment.network.balancer(2), deployment.network.balancer(3)];
        let mut added = Vec::new();
        for number in 2..4 {
            added.push(start_balancer(&deployment.network, &deployment.directory, number, &seeds)?);
            deployment.router.add(&shared, deployment.network.balancer(number));
        }
        deployment.balancers = added;
        shared.record.line("other edge machines run at new addresses");
        // `seedLagS` is 3 s; here the settings of the sides name the new seeds after 1 s.
        shared.record.wait_until(lost_at + 4.0);
        for host in &deployment.hosts {
            for (number, ip) in former.iter().enumerate() {
                host.replace_seed(*ip, deployment.network.balancer(number as u8 + 2))?;
            }
        }
        shared.record.line("the settings files of the sides name the new edge machines");
        if std::env::var("TROUBLE").is_ok_and(|value| value == "hup") {
            shared.record.line("the processes on the sides get SIGHUP");
            for host in &deployment.hosts {
                host.signal("HUP");
            }
        }
    }
    let back_at = shared.record.now().max(lost_at + 4.0);
    shared.record.wait_until(back_at + 40.0);
    let share = |from: f64, until: f64| {
        let attempts = attempts.lock().unwrap();
        let counted: Vec<bool> = attempts
            .iter()
            .filter(|(sent_at, _)| *sent_at >= from && *sent_at < until)
            .map(|(_, is_served)| *is_served)
            .collect();
        let served = counted.iter().filter(|is_served| **is_served).count();
        (served, counted.len())
    };
    let before = share(start, lost_at - 1.0);
    let after = share(back_at + RECOVERY, back_at + RECOVERY + 10.0);
    let first_served = attempts
        .lock()
        .unwrap()
        .iter()
        .filter(|(sent_at, is_served)| *sent_at >= back_at && *is_served)
        .map(|(sent_at, _)| sent_at - back_at)
        .fold(f64::INFINITY, f64::min);
    shared.record.line(&format!(
        "the first request that is served again was sent {first_served:.1} s after the machines were back"
    ));
    shared.record.line(&format!(
        "served before: {} of {}; served of those sent from {RECOVERY} s after the machines were back on: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 >= before.1 && after.0 * 4 < after.1 {
        shared.break_rule(format!(
            "RECOVER: of {} requests sent {RECOVERY} s and more after the machines were back, {} are served; before, {} of {} were",
            after.1, after.0, before.0, before.1
        ));
    }
    deployment.finish()
}
