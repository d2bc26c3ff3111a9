//! The state that all components of a daemon share.
//!
//! Packets are routed with an immutable [`RoutingView`], which is rebuilt whenever the
//! roster or the configuration changes and read without a lock.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_platform::fetch::FetchState;
use hyssopstair_platform::update::UpdateLog;
use hyssopstair_platform::update::VersionedText;
use hyssopstair_platform::update::build_step;
use hyssopstair_roster::state::RosterAction;
use hyssopstair_roster::state::RosterState;
use hyssopstair_roster::versions::ApplyResult;
use hyssopstair_roster::versions::ConfigState;
use hyssopstair_routing::pace::BuildPacer;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_rules::settings::DaemonSettings;
use hyssopstair_rules::settings::RoleSettings;
use hyssopstair_telemetry::counts::COUNTERS;
use hyssopstair_wire::address::HostIncarnation;
use hyssopstair_wire::address::ProcessId;
use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::control::ControlMessage;
use hyssopstair_wire::control::MemberEntry;
use hyssopstair_wire::control::MemberRole;
use hyssopstair_wire::control::MemberState;
use hyssopstair_wire::packet::PacketKind;
use hyssopstair_wire::packet::encode_packet;
use hyssopstair_wire::peer::ConfigurationStep;
use hyssopstair_wire::token::FleetSecret;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::clock::ProcessClock;
use crate::clock::unix_millis;
use crate::datagram;
use crate::error::DaemonError;
use crate::secret::read_secret;

/// Number of times that a new state of this process is sent to other members, so that
/// the loss of a message does not hide it.
const STATE_ANNOUNCEMENT_ROUNDS: usize = 3;

/// Maximum time to search for a short list of edits between two versions.
const DIFF_TIMEOUT: Duration = Duration::from_millis(250);

/// The service that a host announces until a configuration names its own.
const UNKNOWN_SERVICE: ServiceId = ServiceId(0);

/// The state that all components of a daemon share.
#[derive(Debug)]
pub struct ControlNode {
    /// The clock that provides the time for all decisions.
    pub clock: ProcessClock,
    /// The socket for packets and control messages.
    pub socket: Arc<UdpSocket>,
    /// The secret of the fleet.
    pub secret: FleetSecret,
    /// The name of the service of a host; `None` for a balancer.
    pub service_name: Option<String>,
    /// The newest version that a peer has, and the progress of fetching it.
    pub fetch: Mutex<FetchState>,
    /// Notified when a newer version is recorded in `fetch`.
    pub version_notify: Notify,
    /// The steps between recent versions, which are sent to peers with an older version.
    pub updates: Mutex<UpdateLog>,
    zone_name: String,
    address: SocketAddrV4,
    incarnation: AtomicU32,
    roster: Mutex<RosterState>,
    config: Mutex<ConfigState>,
    pacer: Mutex<BuildPacer>,
    view: ArcSwap<RoutingView>,
}

impl ControlNode {
    /// Opens the socket on the inner address and creates the state.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret cannot be read or the address cannot be bound.
    pub async fn start(settings: &DaemonSettings) -> Result<Self, Report<DaemonError>> {
        let secret = read_secret(&settings.secret)?;
        let socket = datagram::open_socket(settings.inner)
            .await
            .change_context_lazy(|| {
                DaemonError::new(format!(
                    "failed to listen on the address of the field \"inner\", {}",
                    settings.inner
                ))
            })?;
        let process_id = ProcessId {
            address: settings.inner,
            incarnation: HostIncarnation::from_unix_millis(unix_millis()),
        };
        let (role, service_name) = initial_role(&settings.role);
        let entry = MemberEntry {
            process: process_id,
            counter: 0,
            role,
            state: MemberState::Alive,
        };
        let config = ConfigState::default();
        let mut roster = RosterState::new(entry, rand::random());
        for address in &settings.contacts {
            roster.add_contact(*address);
        }
        let view = RoutingView::build(0, config.rules().clone(), &secret, &[]);
        Ok(Self {
            clock: ProcessClock::start(),
            socket: Arc::new(socket),
            secret,
            service_name,
            fetch: Mutex::default(),
            version_notify: Notify::new(),
            updates: Mutex::default(),
            zone_name: settings.zone.clone(),
            address: process_id.address,
            incarnation: AtomicU32::new(process_id.incarnation.0),
            roster: Mutex::new(roster),
            config: Mutex::new(config),
            pacer: Mutex::default(),
            view: ArcSwap::from_pointee(view),
        })
    }

    /// Returns the address and the current incarnation of this process. The incarnation
    /// is raised if another member knows an earlier process at this address with the same
    /// or a higher one.
    pub fn process_id(&self) -> ProcessId {
        ProcessId {
            address: self.address,
            incarnation: HostIncarnation(self.incarnation.load(Ordering::Acquire)),
        }
    }

    /// Returns whether the process may take new work. It may if another member has
    /// answered since the process started or was last paused, or if no other member is
    /// reachable.
    pub fn is_confirmed(&self) -> bool {
        lock(&self.roster).is_confirmed(self.clock.now())
    }

    /// Returns whether the process has received the whole roster of another member, or found
    /// no other member.
    pub fn is_joined(&self) -> bool {
        lock(&self.roster).is_joined()
    }

    /// Returns whether a configuration with this version is newer than the one in force
    /// and is not the last one that was rejected.
    pub fn needs_config_version(&self, version: u64) -> bool {
        lock(&self.config).needs_version(version)
    }

    /// Returns the number of members that are alive or draining.
    pub fn live_member_count(&self) -> usize {
        lock(&self.roster).live_count()
    }

    /// Returns the current routing view.
    pub fn view(&self) -> Arc<RoutingView> {
        self.view.load_full()
    }

    /// Returns a copy of the configuration in force.
    pub fn config(&self) -> ConfigState {
        lock(&self.config).clone()
    }

    /// Returns all known members, sorted by address.
    pub fn members(&self) -> Vec<MemberEntry> {
        lock(&self.roster).members().to_vec()
    }

    /// Adds an address at which another member may be reachable.
    pub fn add_contact(&self, address: SocketAddrV4) {
        lock(&self.roster).add_contact(address);
    }

    /// Applies a configuration if it is valid and newer than the one in force, and returns
    /// whether it was applied. `steps` lead from the version in force to `version` and are
    /// stored for peers; if empty, they are computed by comparing the two texts.
    pub fn apply_config(&self, version: u64, text: &str, steps: Vec<ConfigurationStep>) -> bool {
        let (old_config, result) = self.update_config(version, text);
        match result {
            ApplyResult::Applied => {
                log::info!(version, steps = steps.len(); "config: a new version is in force");
                self.update_role();
                self.rebuild_view();
                self.record_steps(&old_config, VersionedText { version, text }, steps);
                true
            }
            ApplyResult::Rejected => {
                self.log_rejected_config();
                false
            }
            ApplyResult::Ignored => false,
        }
    }

    /// Processes a control message and sends the messages that result from it.
    pub async fn receive_message(&self, message: &ControlMessage) {
        let actions = self.update_roster(|roster, node| roster.receive(message, node.clock.now()));
        self.execute_actions(&actions).await;
    }

    /// Sends the messages that are due, and rebuilds the routing view if a delayed build is
    /// due.
    pub async fn tick(&self) {
        let version = lock(&self.config).version();
        let actions = self.update_roster(|roster, node| roster.tick(version, node.clock.now()));
        if lock(&self.pacer).take_due_build(self.clock.now()) {
            self.rebuild_view();
        }
        self.execute_actions(&actions).await;
    }

    /// Changes the announced state of this process and sends it to other members at once.
    pub async fn announce_state(&self, state: MemberState) {
        self.update_roster(|roster, node| roster.set_state(state, node.clock.now()));
        for _ in 0..STATE_ANNOUNCEMENT_ROUNDS {
            let version = lock(&self.config).version();
            let actions = lock(&self.roster).announce_immediately(version, self.clock.now());
            self.execute_actions(&actions).await;
        }
    }

    /// Applies a configuration and returns the previous one with the result.
    fn update_config(&self, version: u64, text: &str) -> (ConfigState, ApplyResult) {
        let mut config = lock(&self.config);
        let old_config = config.clone();
        let result = config.apply(version, text);
        (old_config, result)
    }

    /// Stores the steps from the previous to the new configuration for peers.
    fn record_steps(
        &self,
        old_config: &ConfigState,
        new: VersionedText<'_>,
        steps: Vec<ConfigurationStep>,
    ) {
        // The first configuration has no line in common with the empty one.
        if old_config.version() == 0 {
            return;
        }
        let steps = if steps.is_empty() {
            let old = VersionedText {
                version: old_config.version(),
                text: old_config.text(),
            };
            let deadline = Instant::now() + DIFF_TIMEOUT;
            Vec::from_iter(build_step(old, new, Some(deadline)))
        } else {
            steps
        };
        let mut updates = lock(&self.updates);
        for step in steps {
            updates.add_step(step);
        }
    }

    /// Announces the service and zone of a host as the configuration defines them, with
    /// weight 1. Has no effect on a balancer or if the configuration does not name the
    /// service.
    fn update_role(&self) {
        let Some(name) = &self.service_name else {
            return;
        };
        let rules = lock(&self.config).rules().clone();
        let Some(service) = rules.find_service_by_name(name) else {
            return;
        };
        let role = MemberRole::Host {
            service: service.id,
            zone: rules.find_zone_id(&self.zone_name).unwrap_or(0),
            weight: 1,
        };
        self.update_roster(|roster, node| roster.set_role(role, node.clock.now()));
    }

    /// Changes the roster. If members changed, the view is rebuilt at once or, after a
    /// recent build, by a later tick.
    fn update_roster<T>(&self, change: impl FnOnce(&mut RosterState, &Self) -> T) -> T {
        let mut roster = lock(&self.roster);
        let old_change_count = roster.change_count();
        let result = change(&mut roster, self);
        let has_changed = roster.change_count() != old_change_count;
        let incarnation = roster.own_entry().process.incarnation;
        drop(roster);
        self.update_incarnation(incarnation);
        if has_changed && lock(&self.pacer).record_change(self.clock.now()) {
            self.rebuild_view();
        }
        result
    }

    /// Stores the incarnation that the roster has for this process.
    fn update_incarnation(&self, incarnation: HostIncarnation) {
        let previous = self.incarnation.swap(incarnation.0, Ordering::AcqRel);
        if previous != incarnation.0 {
            log::warn!(
                "gossip: raised the incarnation from {previous} to {incarnation}, because a member \
                 knew an equal or higher one at this address"
            );
        }
    }

    fn log_rejected_config(&self) {
        let config = lock(&self.config).clone();
        let Some(rejected_config) = config.rejected() else {
            return;
        };
        for error in rejected_config.errors.iter() {
            log::error!(
                "config: rejected version {}: {error}",
                rejected_config.version
            );
        }
    }

    fn rebuild_view(&self) {
        // The roster stays locked until the view is stored; otherwise, of two concurrent
        // rebuilds, the one with the older members could be stored last.
        let roster = lock(&self.roster);
        let config = lock(&self.config).clone();
        let view = RoutingView::build(
            config.version(),
            config.rules().clone(),
            &self.secret,
            roster.members(),
        );
        let view = match &self.service_name {
            Some(name) => view.with_host(name, &self.zone_name, self.address),
            None => view,
        };
        self.view.store(Arc::new(view));
    }

    /// Sends the messages that the roster requests.
    async fn execute_actions(&self, actions: &[RosterAction]) {
        for action in actions {
            let RosterAction::Send { to, message } = action;
            let Ok(packet) = encode_packet(PacketKind::Control, message, &[]) else {
                log::warn!("gossip: failed to encode a message: it is too long");
                continue;
            };
            COUNTERS.control_bytes_sent.add(packet.len() as u64);
            // Later gossip rounds make up for a lost message.
            let _ = self.socket.send_to(&packet, to).await;
        }
    }
}

/// Returns the role that is announced before a configuration is applied, and the name of
/// the service of a host.
fn initial_role(settings: &RoleSettings) -> (MemberRole, Option<String>) {
    match settings {
        RoleSettings::Balancer(_) => (MemberRole::Balancer, None),
        RoleSettings::Host(host) => {
            let role = MemberRole::Host {
                service: UNKNOWN_SERVICE,
                zone: 0,
                weight: 1,
            };
            (role, Some(host.service.clone()))
        }
    }
}

/// Locks a mutex. A mutex that was poisoned by a panic is locked as well, because the state
/// that it protects stays usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
