//! The processes and stand-ins of a run.
//!
//! The fleet starts processes, restarts those that have exited, and checks that they exit
//! only when they should. The module `events` applies the events of the plan.

pub mod configuration;
mod events;

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use hyssopstair_stand_in::state::StoreState;
use hyssopstair_stand_in::store::StandInStore;
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::checker::SoakChecker;
use crate::http_call::send_http_request;
use crate::network::METRICS_PORT;
use crate::program::SoakProcess;
use crate::relay::SoakRelay;
use crate::server::SoakServer;

/// Time within which a process must exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Additional time that a process may take to exit on a busy machine.
const STOP_TIMEOUT_SLACK: Duration = Duration::from_secs(4);

/// Delay before a process that has exited starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Interval at which the states of the processes are checked.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the versions of the routes are checked, and timeout of each request.
const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the store is copied.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Age from which a copy of the store is dropped.
const MAX_COPY_AGE: Duration = Duration::from_secs(8);

/// A process and its state.
#[derive(Debug)]
struct FleetMember {
    process: SoakProcess,
    /// Number of starts so far.
    incarnation: u32,
    /// Time at which SIGTERM was sent, until the process has exited.
    stop_requested_at: Option<Instant>,
    /// Time at which the process is to be started.
    start_at: Option<Instant>,
    /// Time before which the process is not started, because its instance is being
    /// replaced.
    unavailable_until: Instant,
    /// Service of the backend server beside the process.
    service: &'static str,
}

/// The processes and stand-ins of a run.
#[derive(Clone)]
pub struct SoakFleet {
    /// The balancers, followed by the hosts.
    members: Rc<RefCell<Vec<FleetMember>>>,
    servers: Rc<Vec<SoakServer>>,
    relay: SoakRelay,
    store: StandInStore,
    checker: Rc<RefCell<SoakChecker>>,
    balancer_count: usize,
    /// Recent copies of the store with their times, oldest first.
    store_copies: Rc<RefCell<Vec<(Instant, StoreState)>>>,
    /// The newest configuration.
    configuration: Rc<RefCell<Value>>,
    /// Number of configurations that were written.
    configuration_version: Rc<RefCell<u64>>,
    /// The zone that operators have emptied, if there is one.
    evacuated_zone: Rc<RefCell<Option<u8>>>,
    random: Rc<RefCell<SmallRng>>,
}

impl SoakFleet {
    /// Creates a fleet whose processes are to be started at once. The balancers come first
    /// in `processes`.
    pub fn new(
        processes: Vec<SoakProcess>,
        balancer_count: usize,
        servers: Vec<SoakServer>,
        relay: SoakRelay,
        store: StandInStore,
        checker: Rc<RefCell<SoakChecker>>,
        seed: u64,
    ) -> Self {
        let now = Instant::now();
        let members = processes.into_iter().map(|process| FleetMember {
            process,
            incarnation: 0,
            stop_requested_at: None,
            start_at: Some(now),
            unavailable_until: now,
            service: "one",
        });
        Self {
            members: Rc::new(RefCell::new(members.collect())),
            servers: Rc::new(servers),
            relay,
            store,
            checker,
            balancer_count,
            store_copies: Rc::default(),
            configuration: Rc::default(),
            configuration_version: Rc::new(RefCell::new(0)),
            evacuated_zone: Rc::default(),
            random: Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))),
        }
    }

    /// Starts and restarts processes, and records unexpected exits, until the task is
    /// aborted.
    pub async fn supervise(self) {
        loop {
            let now = Instant::now();
            for member in self.members.borrow_mut().iter_mut() {
                self.update_member(member, now);
            }
            sleep(SUPERVISION_INTERVAL).await;
        }
    }

    /// Copies the store periodically, until the task is aborted.
    pub async fn copy_store(self) {
        loop {
            let now = Instant::now();
            {
                let mut copies = self.store_copies.borrow_mut();
                copies.retain(|(copied_at, _)| now.duration_since(*copied_at) < MAX_COPY_AGE);
                copies.push((now, self.store.copy_state()));
            }
            sleep(COPY_INTERVAL).await;
        }
    }

    /// Reads the versions of the routes from the metrics of the processes and checks them,
    /// until the task is aborted.
    pub async fn check_versions(self) {
        let count = self.members.borrow().len();
        loop {
            for index in 0..count {
                let (address, incarnation) = {
                    let members = self.members.borrow();
                    (members[index].process.address, members[index].incarnation)
                };
                let endpoint = SocketAddrV4::new(address, METRICS_PORT);
                let request = send_http_request(
                    endpoint,
                    Method::GET,
                    "/metrics",
                    String::new(),
                    VERSION_CHECK_INTERVAL,
                );
                let text = request.await.map(|(_, body)| body).unwrap_or_default();
                let text = String::from_utf8_lossy(&text);
                let version = text.lines().find_map(|line| {
                    let value = line.strip_prefix("hyssopstair_routes_version ")?;
                    value.parse::<f64>().ok()
                });
                let is_current = self.members.borrow()[index].incarnation == incarnation;
                if let Some(version) = version.filter(|_| is_current) {
                    let mut checker = self.checker.borrow_mut();
                    checker.check_version(Instant::now(), address, incarnation, version as u64);
                }
            }
            sleep(VERSION_CHECK_INTERVAL).await;
        }
    }

    /// Terminates all processes and waits until they have exited.
    pub async fn stop_all(&self) {
        let count = self.members.borrow().len();
        for index in 0..count {
            self.stop_process(index);
        }
        let deadline = Instant::now() + STOP_TIMEOUT + STOP_TIMEOUT_SLACK;
        while Instant::now() < deadline {
            let have_all_exited = self.members.borrow_mut().iter_mut().all(|member| {
                member.process.take_exit_status().is_some() || !member.process.is_running()
            });
            if have_all_exited {
                return;
            }
            sleep(SUPERVISION_INTERVAL).await;
        }
        let mut checker = self.checker.borrow_mut();
        checker.record_finding(
            Instant::now(),
            "a process did not exit after SIGTERM at the end of the run",
        );
    }

    /// Restarts a process that has exited, kills one that has not exited in time after
    /// SIGTERM, and starts one that is due.
    fn update_member(&self, member: &mut FleetMember, now: Instant) {
        let address = member.process.address;
        if let Some(status) = member.process.take_exit_status() {
            if member.stop_requested_at.take().is_none() {
                let text = format!("{address} exited unexpectedly: {status}");
                self.checker.borrow_mut().record_finding(now, &text);
            }
            member.start_at = Some(now + RESTART_DELAY);
        }
        if member
            .stop_requested_at
            .is_some_and(|requested_at| now >= requested_at + STOP_TIMEOUT + STOP_TIMEOUT_SLACK)
        {
            let text = format!("{address} did not exit after SIGTERM");
            self.checker.borrow_mut().record_finding(now, &text);
            member.process.kill();
            member.stop_requested_at = None;
            member.start_at = Some(now);
        }
        if member
            .start_at
            .is_some_and(|at| now >= at.max(member.unavailable_until))
        {
            member.start_at = None;
            member.incarnation += 1;
            self.checker
                .borrow_mut()
                .record_planned_restart(address, now);
            if let Err(error) = member.process.start() {
                self.checker
                    .borrow_mut()
                    .record_finding(now, &format!("{address}: {error}"));
            }
        }
    }

    /// Kills a process, which starts again at `restart_at`.
    fn kill_process(&self, index: usize, restart_at: Instant) {
        let member = &mut self.members.borrow_mut()[index];
        member.process.kill();
        member.stop_requested_at = None;
        member.start_at = Some(restart_at);
        self.checker
            .borrow_mut()
            .record_fault(member.process.address, restart_at);
    }

    /// Terminates a process, unless it is not running or was terminated before.
    fn stop_process(&self, index: usize) {
        let member = &mut self.members.borrow_mut()[index];
        if member.process.is_running() && member.stop_requested_at.is_none() {
            let now = Instant::now();
            member.stop_requested_at = Some(now);
            member.process.send_signal(Signal::SIGTERM);
            self.checker
                .borrow_mut()
                .record_planned_restart(member.process.address, now + STOP_TIMEOUT);
        }
    }

    /// Sends a signal, and returns the address and the incarnation of the process. Once a
    /// process was terminated, it gets no signal but SIGCONT.
    fn send_signal(&self, index: usize, signal: Signal) -> (Ipv4Addr, u32) {
        let member = &self.members.borrow()[index];
        if member.stop_requested_at.is_none() || signal == Signal::SIGCONT {
            member.process.send_signal(signal);
        }
        (member.process.address, member.incarnation)
    }

    /// Sets the service of the backend server beside a host, and writes the host's
    /// settings.
    pub fn set_service(&self, host: usize, service: &'static str) {
        let member = &mut self.members.borrow_mut()[self.balancer_count + host];
        member.service = service;
        if let Err(error) = member.process.set_service(service) {
            let text = format!("{error}");
            self.checker
                .borrow_mut()
                .record_finding(Instant::now(), &text);
        }
    }

    /// Starts the backend server beside a host once the host's instance is available. Does
    /// nothing if the server is running.
    pub async fn start_server(&self, host: usize, clock_offset: Duration) {
        let index = self.balancer_count + host;
        loop {
            let unavailable_until = self.members.borrow()[index].unavailable_until;
            if Instant::now() >= unavailable_until {
                break;
            }
            sleep_until(unavailable_until.into()).await;
        }
        let service = self.members.borrow()[index].service;
        if let Err(error) = self.servers[host].start(service, clock_offset).await {
            let text = format!("failed to start the server beside host {host}: {error}");
            self.checker
                .borrow_mut()
                .record_finding(Instant::now(), &text);
        }
    }
}
