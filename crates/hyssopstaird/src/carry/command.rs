//! Commands that other tasks send to the event loop, and the status that the loop
//! publishes to them.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyssopstair_flows::balancer::SaveRequest;
use hyssopstair_flows::evacuation::EvacuatedZones;
use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::members::BalancerRecord;
use hyssopstair_flows::routes::RouteTable;
use hyssopstair_flows::saved_flows::SavedFlowList;
use hyssopstair_flows::store_position::StorePosition;
use hyssopstair_flows::watch_schedule::MIN_RETRY_DELAY;
use hyssopstair_flows::watch_schedule::WatchSchedule;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Capacity of the command queue; a sender waits while the queue is full.
pub const COMMAND_QUEUE_CAPACITY: usize = 64;

/// A command for the event loop.
#[derive(Debug)]
pub enum CarryCommand {
    /// Installs a route table that was read from the store, if it is newer than the one in
    /// force.
    SetRoutes(RouteTable),
    /// Installs the emptied zones that were read from the store, if they are newer than those
    /// in force.
    SetEvacuation(EvacuatedZones),
    /// Adds addresses at which there may be balancers.
    AddContacts(Vec<Ipv4Addr>),
    /// Handles a heartbeat of the server beside the host.
    Heartbeat {
        /// The heartbeat.
        heartbeat: ServerHeartbeat,
        /// Notified when the heartbeat is accepted; dropped if it is ignored.
        applied_sender: oneshot::Sender<()>,
    },
    /// Counts and logs a heartbeat that cannot be decoded.
    IgnoreMalformedHeartbeat {
        /// Identifier of the server that the heartbeat names.
        server_id: String,
    },
    /// Handles a deregistration: the server beside the host is shutting down.
    Deregistration {
        /// ID of the server.
        id: String,
        /// Notified when the deregistration is handled.
        applied_sender: oneshot::Sender<()>,
    },
    /// Handles the result of a check of the server.
    CheckDone(CheckResult),
    /// Handles the open flows that the former process of the host has saved.
    FormerFlows(SavedFlowList),
    /// Confirms to hosts that parts of their lists of open flows were saved.
    ConfirmSaves(Vec<SaveRequest>),
    /// Logs what a task has learned about the configuration in the store.
    ConfigurationObserved(ConfigurationObservation),
    /// Logs that a dependency failed or recovered.
    DependencyChanged {
        /// Name of the dependency.
        name: &'static str,
        /// Why it failed; `None` if it recovered.
        error: Option<String>,
    },
}

/// What a task has learned about the configuration in the store.
#[derive(Debug)]
pub enum ConfigurationObservation {
    /// A version was received.
    Received {
        /// How it was received.
        source: ConfigurationSource,
        /// Version of the configuration.
        version: u64,
        /// Revision of its last change.
        revision: u64,
        /// Position in the history of the store after which changes are still unknown.
        position: StorePosition,
    },
    /// The task cannot watch from its position, and reads the configuration again.
    PositionLost {
        /// The position.
        position: StorePosition,
        /// Why it is lost.
        reason: String,
    },
}

/// How a configuration was received from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// Its key was read.
    Read,
    /// A watch reported a change.
    Watch,
}

/// State of the event loop, shared with other tasks.
#[derive(Debug, Clone, Default)]
pub struct ProcessStatus {
    inner: Arc<StatusCells>,
}

#[derive(Debug, Default)]
struct StatusCells {
    is_ready: AtomicBool,
    /// Whether the process has been ready before.
    was_ready: AtomicBool,
    became_ready: Notify,
    routes_version: AtomicU64,
    balancer_count: AtomicU64,
    reachable_balancer_count: AtomicU64,
    lower_balancer_count: AtomicU64,
    refused_probe_count: AtomicU32,
}

impl ProcessStatus {
    /// Returns whether the process is ready for traffic.
    pub fn is_ready(&self) -> bool {
        self.inner.is_ready.load(Ordering::Relaxed)
    }

    /// Returns whether the process is ready for traffic. While it is starting, waits for at
    /// most `max_wait` until it is.
    pub async fn wait_while_starting(&self, max_wait: Duration) -> bool {
        // Created before the check, so that no notification is missed in between.
        let became_ready = self.inner.became_ready.notified();
        if !self.is_ready() && !self.inner.was_ready.load(Ordering::Relaxed) {
            let _ = timeout(max_wait, became_ready).await;
        }
        self.is_ready()
    }

    /// Counts a readiness probe that was answered in the negative.
    pub fn record_refused_probe(&self) {
        self.inner
            .refused_probe_count
            .fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of readiness probes that were answered in the negative.
    pub fn refused_probe_count(&self) -> u32 {
        self.inner.refused_probe_count.load(Ordering::Relaxed)
    }

    /// Returns the version of the routes in force; 0 if there are none.
    pub fn routes_version(&self) -> u64 {
        self.inner.routes_version.load(Ordering::Relaxed)
    }

    /// Returns the number of known balancers.
    pub fn balancer_count(&self) -> u64 {
        self.inner.balancer_count.load(Ordering::Relaxed)
    }

    /// Returns the number of balancers that have sent a message a short time ago.
    pub fn reachable_balancer_count(&self) -> u64 {
        self.inner.reachable_balancer_count.load(Ordering::Relaxed)
    }

    /// Returns the place of this process, a balancer, among the known ones that watch the
    /// configuration.
    pub fn watch_schedule(&self) -> WatchSchedule {
        WatchSchedule {
            balancer_count: self.balancer_count() as u32 + 1,
            rank: self.inner.lower_balancer_count.load(Ordering::Relaxed) as u32,
        }
    }

    /// Returns the delay of a balancer after a call that the store has not answered.
    pub fn retry_delay(&self) -> Duration {
        match self.routes_version() {
            0 => MIN_RETRY_DELAY,
            _ => self.watch_schedule().retry_delay(),
        }
    }

    /// Publishes the state of the event loop. `balancers` holds the known balancers, of which
    /// `reachable_count` are reachable, and `address` is that of the process.
    pub fn publish(
        &self,
        is_ready: bool,
        routes_version: u64,
        balancers: &[BalancerRecord],
        reachable_count: usize,
        address: Ipv4Addr,
    ) {
        let lower_count = balancers.partition_point(|record| record.peer.address < address);
        self.inner.is_ready.store(is_ready, Ordering::Relaxed);
        if is_ready && !self.inner.was_ready.swap(true, Ordering::Relaxed) {
            self.inner.became_ready.notify_waiters();
        }
        self.inner
            .routes_version
            .store(routes_version, Ordering::Relaxed);
        self.inner
            .balancer_count
            .store(balancers.len() as u64, Ordering::Relaxed);
        self.inner
            .reachable_balancer_count
            .store(reachable_count as u64, Ordering::Relaxed);
        self.inner
            .lower_balancer_count
            .store(lower_count as u64, Ordering::Relaxed);
    }
}
