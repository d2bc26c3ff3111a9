//! What other tasks tell the loop of the process.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyssopstair_flows::heartbeat::ServerHeartbeat;
use hyssopstair_flows::host::CheckResult;
use hyssopstair_flows::routes::RouteTable;
use tokio::sync::oneshot;

/// Commands that wait at most; a sender then waits too.
pub const COMMAND_QUEUE: usize = 64;

/// One command.
#[derive(Debug)]
pub enum CarryCommand {
    /// Routes were read.
    Routes(RouteTable),
    /// Balancers may be at these addresses.
    Contacts(Vec<Ipv4Addr>),
    /// The server beside the host has sent a heartbeat.
    Heartbeat {
        /// The heartbeat.
        beat: ServerHeartbeat,
        /// Is told when the heartbeat is in force.
        done: oneshot::Sender<()>,
    },
    /// The server beside the host ends.
    Deregistration {
        /// Its name.
        id: String,
        /// Is told when this is in force.
        done: oneshot::Sender<()>,
    },
    /// An attempt to reach the server has ended.
    Checked(CheckResult),
    /// A dependency was lost or came back.
    Dependency {
        /// Its name.
        name: &'static str,
        /// Why it is lost; nothing when it is back.
        error: Option<String>,
    },
}

/// What the loop tells other tasks.
#[derive(Debug, Clone, Default)]
pub struct ProcessStatus {
    inner: Arc<StatusCells>,
}

#[derive(Debug, Default)]
struct StatusCells {
    is_ready: AtomicBool,
    routes: AtomicU64,
    balancers: AtomicU64,
}

impl ProcessStatus {
    /// Returns whether the process takes traffic.
    pub fn is_ready(&self) -> bool {
        self.inner.is_ready.load(Ordering::Relaxed)
    }

    /// Returns the version of the routes in force; 0 for none.
    pub fn routes(&self) -> u64 {
        self.inner.routes.load(Ordering::Relaxed)
    }

    /// Returns how many balancers are known.
    pub fn balancers(&self) -> u64 {
        self.inner.balancers.load(Ordering::Relaxed)
    }

    /// Sets what the loop knows.
    pub fn set(&self, is_ready: bool, routes: u64, balancers: u64) {
        self.inner.is_ready.store(is_ready, Ordering::Relaxed);
        self.inner.routes.store(routes, Ordering::Relaxed);
        self.inner.balancers.store(balancers, Ordering::Relaxed);
    }
}
