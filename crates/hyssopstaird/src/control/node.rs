//! The state that all parts of a daemon share.

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
use hyssopstair_platform::update::VersionText;
use hyssopstair_platform::update::step_between;
use hyssopstair_roster::state::RosterAction;
use hyssopstair_roster::state::RosterState;
use hyssopstair_roster::versions::ApplyResult;
use hyssopstair_roster::versions::ConfigState;
use hyssopstair_routing::pace::BuildPacer;
use hyssopstair_routing::view::RoutingView;
use hyssopstair_rules::settings::DaemonSettings;
use hyssopstair_rules::settings::RoleSettings;
use hyssopstair_telemetry::counts::COUNTS;
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

/// Rounds in which a last word is sent to other members.
const FAREWELL_ROUNDS: usize = 3;

/// Longest search for short edits between two versions.
const DIFF_LIMIT: Duration = Duration::from_millis(250);

/// What a host announces before its configuration names its service.
const UNKNOWN_SERVICE: ServiceId = ServiceId(0);

/// The state that all parts of a daemon share.
#[derive(Debug)]
pub struct ControlNode {
    /// The clock that decisions are given.
    pub clock: ProcessClock,
    /// The socket for packets and control messages.
    pub socket: Arc<UdpSocket>,
    /// The secret of the fleet.
    pub secret: FleetSecret,
    /// The name of the service, for a host.
    pub service_name: Option<String>,
    /// The newest version that a peer was heard with.
    pub fetch: Mutex<FetchState>,
    /// Woken when a newer version is heard.
    pub version_heard: Notify,
    /// What peers that lag are sent.
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
    /// Opens the inner socket and creates the state.
    ///
    /// # Errors
    ///
    /// Returns an error when the address is in use or there is no secret.
    pub async fn start(settings: &DaemonSettings) -> Result<Self, Report<DaemonError>> {
        let secret = read_secret(&settings.secret)?;
        let socket = datagram::open(settings.inner)
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
            version_heard: Notify::new(),
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

    /// Returns the name of the process. Its incarnation grows when an earlier
    /// process at the address is found to have had a higher one.
    pub fn process_id(&self) -> ProcessId {
        ProcessId {
            address: self.address,
            incarnation: HostIncarnation(self.incarnation.load(Ordering::Acquire)),
        }
    }

    /// Returns whether the process may take new work: another member has
    /// answered since it started or was paused, or there is none to ask.
    pub fn is_confirmed(&self) -> bool {
        lock(&self.roster).is_confirmed(self.clock.now())
    }

    /// Returns whether the process knows all that the others know.
    pub fn is_joined(&self) -> bool {
        lock(&self.roster).is_joined()
    }

    /// Returns whether a configuration of this version would be news.
    pub fn wants_config(&self, version: u64) -> bool {
        lock(&self.config).needs_version(version)
    }

    /// Returns the number of members that are not gone.
    pub fn live_members(&self) -> usize {
        lock(&self.roster).live_count()
    }

    /// Returns the present view.
    pub fn view(&self) -> Arc<RoutingView> {
        self.view.load_full()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> ConfigState {
        lock(&self.config).clone()
    }

    /// Returns the members that are known.
    pub fn members(&self) -> Vec<MemberEntry> {
        lock(&self.roster).members().to_vec()
    }

    /// Adds an address where a member may be found.
    pub fn add_contact(&self, address: SocketAddrV4) {
        lock(&self.roster).add_contact(address);
    }

    /// Takes a configuration if it is newer, and returns whether it did. The
    /// steps that led to it are kept for peers; without any, they are found by
    /// comparing the texts.
    pub fn apply_config(&self, version: u64, text: &str, steps: Vec<ConfigurationStep>) -> bool {
        let (before, result) = self.change_config(version, text);
        match result {
            ApplyResult::Applied => {
                log::info!(version, steps = steps.len(); "config: a new version is in force");
                self.announce_role();
                self.rebuild_view();
                self.keep_steps(&before, VersionText { version, text }, steps);
                true
            }
            ApplyResult::Rejected => {
                self.report_refused();
                false
            }
            ApplyResult::Ignored => false,
        }
    }

    /// Takes in a control message.
    pub async fn receive_control(&self, message: &ControlMessage) {
        let actions = self.change_roster(|roster, node| roster.receive(message, node.clock.now()));
        self.carry_out(&actions).await;
    }

    /// Does what is due.
    pub async fn tick(&self) {
        let version = lock(&self.config).version();
        let actions = self.change_roster(|roster, node| roster.tick(version, node.clock.now()));
        if lock(&self.pacer).take_due_build(self.clock.now()) {
            self.rebuild_view();
        }
        self.carry_out(&actions).await;
    }

    /// Changes what the process says about itself and tells other members.
    pub async fn declare(&self, state: MemberState) {
        self.change_roster(|roster, node| roster.set_state(state, node.clock.now()));
        for _ in 0..FAREWELL_ROUNDS {
            let version = lock(&self.config).version();
            let actions = lock(&self.roster).announce_immediately(version, self.clock.now());
            self.carry_out(&actions).await;
        }
    }

    fn change_config(&self, version: u64, text: &str) -> (ConfigState, ApplyResult) {
        let mut config = lock(&self.config);
        let before = config.clone();
        let result = config.apply(version, text);
        (before, result)
    }

    fn keep_steps(
        &self,
        before: &ConfigState,
        new: VersionText<'_>,
        steps: Vec<ConfigurationStep>,
    ) {
        // The first configuration shares no line with the empty one.
        if before.version() == 0 {
            return;
        }
        let steps = if steps.is_empty() {
            let old = VersionText {
                version: before.version(),
                text: before.text(),
            };
            let deadline = Instant::now() + DIFF_LIMIT;
            Vec::from_iter(step_between(old, new, Some(deadline)))
        } else {
            steps
        };
        let mut updates = lock(&self.updates);
        for step in steps {
            updates.add(step);
        }
    }

    fn announce_role(&self) {
        let Some(name) = &self.service_name else {
            return;
        };
        let rules = lock(&self.config).rules().clone();
        let Some(service) = rules.service_named(name) else {
            return;
        };
        let role = MemberRole::Host {
            service: service.id,
            zone: rules.zone(&self.zone_name).unwrap_or(0),
            weight: 1,
        };
        self.change_roster(|roster, node| roster.set_role(role, node.clock.now()));
    }

    fn change_roster<T>(&self, change: impl FnOnce(&mut RosterState, &Self) -> T) -> T {
        let mut roster = lock(&self.roster);
        let before = roster.change_count();
        let result = change(&mut roster, self);
        let changed = roster.change_count() != before;
        let incarnation = roster.own_entry().process.incarnation;
        drop(roster);
        self.note_incarnation(incarnation);
        if changed && lock(&self.pacer).record_change(self.clock.now()) {
            self.rebuild_view();
        }
        result
    }

    fn note_incarnation(&self, incarnation: HostIncarnation) {
        let before = self.incarnation.swap(incarnation.0, Ordering::AcqRel);
        if before != incarnation.0 {
            log::warn!(
                "gossip: took incarnation {incarnation}, as one above {before} was known here"
            );
        }
    }

    fn report_refused(&self) {
        let config = lock(&self.config).clone();
        let Some(refused) = config.rejected() else {
            return;
        };
        for error in refused.errors.iter() {
            log::error!("config: version {} is refused: {error}", refused.version);
        }
    }

    fn rebuild_view(&self) {
        // The roster lock is held to the end, so that of two rebuilds the later
        // one is the one that stays.
        let roster = lock(&self.roster);
        let config = lock(&self.config).clone();
        let view = RoutingView::build(
            config.version(),
            config.rules().clone(),
            &self.secret,
            roster.members(),
        );
        let view = match &self.service_name {
            Some(name) => view.with_host(name, self.address),
            None => view,
        };
        self.view.store(Arc::new(view));
    }

    async fn carry_out(&self, actions: &[RosterAction]) {
        for action in actions {
            let RosterAction::Send { to, message } = action;
            let Ok(packet) = encode_packet(PacketKind::Control, message, &[]) else {
                log::warn!("gossip: a message is too long");
                continue;
            };
            COUNTS.control_sent.add(packet.len() as u64);
            // A lost message is repaired by later rounds.
            let _ = self.socket.send_to(&packet, to).await;
        }
    }
}

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

/// Locks a mutex; a panic elsewhere leaves its state usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
