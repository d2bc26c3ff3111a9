//! Turns a seed into the events of a run. The same arguments always yield the same plan.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;

use crate::program::ZONE_COUNT;

/// Time before the first event, in which the processes discover each other.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// Time without events at the end of a run, in which the system must recover.
pub const EVENT_FREE_PERIOD: Duration = Duration::from_secs(9);

/// Mean time between two returns of the store from a copy.
const RESTORE_INTERVAL: Duration = Duration::from_secs(12);

/// Number by which the seed of the returns of the store differs from that of the plan, so
/// that they leave the other events of a seed as they are.
const RESTORE_SEED: u64 = 0xc0b1;

/// Number by which the seed of the evacuation differs from that of the plan.
const EVACUATION_SEED: u64 = 0xe7ac;

/// Number by which the seed of the reused addresses differs from that of the plan.
const REUSE_SEED: u64 = 0xadd4;

/// Mean time between two groups of instances whose addresses are reused.
const REUSE_INTERVAL: Duration = Duration::from_secs(6);

/// Number of hosts for each one of a group of instances whose addresses are reused.
const HOSTS_PER_REUSE: usize = 6;

/// Longest time from the start of a host at a reused address to that of its server.
const MAX_REUSE_LAG_MILLIS: u64 = 300;

/// Number by which the seed of the upgrade differs from that of the plan.
const UPGRADE_SEED: u64 = 0x0b1d;

/// Time before the end of a run at which an emptied zone is taken back.
const EVACUATION_END: Duration = Duration::from_millis(1_500);

/// Minimum number of hosts of a fleet whose zones are emptied: each service then has hosts in
/// the other zones.
const MIN_EVACUATION_HOSTS: usize = 6;

/// Number of the first hosts that keep their services, so that each service always has a
/// server.
pub const FIXED_SERVICE_HOSTS: usize = 2;

/// Time before an address is used again by an instance of another service.
pub const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

/// Number of processes for each balancer, including the balancer itself. A run has at
/// least two balancers.
const PROCESSES_PER_BALANCER: u16 = 3;

/// A fault or a planned change that is applied from outside the processes. The
/// numbers identify processes, or for events of servers the hosts beside them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakEvent {
    /// Kills a process and restarts it later.
    Kill(usize),
    /// Terminates a process and restarts it once it has exited.
    Stop(usize),
    /// Pauses a process with SIGSTOP for a while.
    Pause(usize),
    /// Kills all processes at once.
    KillAll,
    /// Kills all processes and crashes all servers at once.
    LosePower,
    /// Makes a process reload its settings, which are invalid if the flag is set.
    ReloadSettings(usize, bool),
    /// Crashes a server and starts a new one later.
    CrashServer(usize),
    /// Drains a server and starts a new one, possibly for the other service.
    ReplaceServer(usize),
    /// Ends an instance without notice, host and server, and gives its address to one of the
    /// other service, whose server starts after the duration.
    ReuseAddress(usize),
    /// Crashes a server and starts a new one whose clock is set back.
    SetServerClockBack(usize),
    /// Drops some datagrams to and from a process.
    LoseDatagrams(usize),
    /// Delays datagrams to and from a process.
    DelayDatagrams(usize),
    /// Drops all datagrams that a process sends to others.
    DropOutgoing(usize),
    /// Drops all datagrams that others send to a process.
    DropIncoming(usize),
    /// Sends random datagrams to a process from an address that is not a peer's.
    SendRandomDatagrams(usize),
    /// Withholds the responses of the store from a process.
    SilenceStoreConnections(usize),
    /// Closes the connections of a process to the store.
    ResetStoreConnections(usize),
    /// Makes the store reject all calls.
    StoreDown,
    /// Makes the store respond late.
    StoreSlow,
    /// Makes the store execute calls without responding.
    StoreLosesResponses,
    /// Compacts the history of the store.
    CompactStore,
    /// Takes the store down and brings it back from a copy of this age, with this number of
    /// changes by others since.
    RestoreStore(Duration, u8),
    /// Writes the next configuration.
    WriteConfiguration,
    /// Empties an availability zone, and takes it back at the end of the duration.
    EvacuateZone(u8),
    /// Terminates a process and restarts it with the given build.
    ReplaceBuild(usize, SoakBuild),
}

/// One of the two builds of a run in which processes are replaced one after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakBuild {
    /// The build with which the run begins.
    Former,
    /// The build that replaces it.
    Current,
}

/// An event with its time and duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedEvent {
    /// Time of the event since the start of the run.
    pub at: Duration,
    /// Duration of the event's effect.
    pub duration: Duration,
    /// The event.
    pub event: SoakEvent,
}

/// The number of processes of each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of balancers, two or more.
    pub balancer_count: usize,
    /// Number of hosts, three or more.
    pub host_count: usize,
}

impl FleetSize {
    /// Divides processes into balancers and hosts, with this number of balancers if it is given.
    pub fn from_processes(process_count: u16, balancer_count: Option<u16>) -> Self {
        let balancer_count = balancer_count.unwrap_or(process_count / PROCESSES_PER_BALANCER);
        let balancer_count = usize::from(balancer_count.max(2));
        Self {
            balancer_count,
            host_count: usize::from(process_count)
                .saturating_sub(balancer_count)
                .max(3),
        }
    }
}

/// The plan of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// The seed of the plan, from which the other random choices of the run also derive.
    pub seed: u64,
    /// Number of balancers, which are numbered before the hosts.
    pub balancer_count: usize,
    /// Number of hosts.
    pub host_count: usize,
    /// Whether routers assign flows by hash modulo the number of ready balancers, so that
    /// nearly all flows move when a balancer joins or leaves.
    pub uses_modulo_hashing: bool,
    /// The events, sorted by time.
    pub events: Vec<TimedEvent>,
    /// Length of the run.
    pub run_time: Duration,
}

impl SoakPlan {
    /// Creates the plan of a run that takes at least 0.3 minutes and has at least two
    /// balancers and three hosts.
    pub fn from_seed(seed: u64, minutes: f64, size: FleetSize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let FleetSize {
            balancer_count,
            host_count,
        } = size;
        let run_time = Duration::from_secs_f64(minutes.max(0.3) * 60.0);
        let uses_modulo_hashing = random.random_bool(0.4);
        let mut events = Vec::new();
        let mut at = WARM_UP_TIME;
        // Events are more frequent in a larger fleet.
        let max_gap_millis = (16_000 / (balancer_count + host_count) as u64).clamp(200, 2_000);
        let end = run_time.saturating_sub(EVENT_FREE_PERIOD);
        while at < end {
            let event = choose_event(&mut random, balancer_count, host_count);
            let remaining_millis = (end - at).as_millis() as u64;
            let duration_millis = random
                .random_range(200..=3_000u64)
                .min(remaining_millis.max(200));
            events.push(TimedEvent {
                at,
                duration: Duration::from_millis(duration_millis),
                event,
            });
            at += Duration::from_millis(random.random_range(50..=max_gap_millis));
        }
        events.extend(choose_restores(seed, end));
        events.extend(choose_reuses(seed, end, balancer_count, host_count));
        if host_count >= MIN_EVACUATION_HOSTS {
            events.push(choose_evacuation(seed, run_time));
        }
        events.sort_by_key(|timed| timed.at);
        Self {
            seed,
            balancer_count,
            host_count,
            uses_modulo_hashing,
            events,
            run_time,
        }
    }
}

impl SoakPlan {
    /// Adds an upgrade to the plan, which then begins with the former build. Half of the
    /// processes are replaced, go back to the former build, and then all are replaced. Each
    /// replacement is a planned stop, in the middle of the other events.
    pub fn with_upgrade(mut self) -> Self {
        let mut random = SmallRng::seed_from_u64(self.seed ^ UPGRADE_SEED);
        let mut processes: Vec<usize> = (0..self.balancer_count + self.host_count).collect();
        processes.shuffle(&mut random);
        let first_half = &processes[..processes.len() / 2];
        let forward = |process: &usize| SoakEvent::ReplaceBuild(*process, SoakBuild::Current);
        let back = |process: &usize| SoakEvent::ReplaceBuild(*process, SoakBuild::Former);
        let events: Vec<SoakEvent> = first_half
            .iter()
            .map(forward)
            .chain(first_half.iter().map(back))
            .chain(processes.iter().map(forward))
            .collect();
        let period = self
            .run_time
            .saturating_sub(WARM_UP_TIME + EVENT_FREE_PERIOD);
        let gap = period / events.len().max(1) as u32;
        for (number, event) in events.into_iter().enumerate() {
            self.events.push(TimedEvent {
                at: WARM_UP_TIME + gap * number as u32,
                duration: Duration::ZERO,
                event,
            });
        }
        self.events.sort_by_key(|timed| timed.at);
        self
    }
}

/// Returns the events that bring the store back from a copy, at least one.
fn choose_restores(seed: u64, end: Duration) -> Vec<TimedEvent> {
    let mut random = SmallRng::seed_from_u64(seed ^ RESTORE_SEED);
    let period = end.saturating_sub(WARM_UP_TIME);
    let count = 1 + period.as_millis() / RESTORE_INTERVAL.as_millis();
    (0..count)
        .map(|_| {
            let age_millis = random.random_range(500..=6_000u64);
            let change_count = random.random_range(0..=30u8);
            TimedEvent {
                at: WARM_UP_TIME + period.mul_f64(random.random_range(0.0..1.0)),
                duration: Duration::from_millis(random.random_range(200..=2_000u64)),
                event: SoakEvent::RestoreStore(Duration::from_millis(age_millis), change_count),
            }
        })
        .collect()
}

/// Returns the events that reuse addresses: groups of instances that end at the same time, as
/// when a part of a fleet is lost.
fn choose_reuses(
    seed: u64,
    end: Duration,
    balancer_count: usize,
    host_count: usize,
) -> Vec<TimedEvent> {
    let mut random = SmallRng::seed_from_u64(seed ^ REUSE_SEED);
    let period = end.saturating_sub(WARM_UP_TIME + ADDRESS_REUSE_DELAY);
    let reassignable: Vec<usize> = (FIXED_SERVICE_HOSTS..host_count).collect();
    let group_size = (host_count / HOSTS_PER_REUSE).max(1);
    let mut events = Vec::new();
    for _ in 0..=period.as_millis() / REUSE_INTERVAL.as_millis() {
        let at = WARM_UP_TIME + period.mul_f64(random.random_range(0.0..1.0));
        for host in reassignable.sample(&mut random, group_size) {
            let lag_millis = random.random_range(0..=MAX_REUSE_LAG_MILLIS);
            events.push(TimedEvent {
                at,
                duration: Duration::from_millis(lag_millis),
                event: SoakEvent::ReuseAddress(balancer_count + host),
            });
        }
    }
    events
}

/// Returns the event that empties a zone, some seconds before the others end until shortly
/// before the end of the run, so that it is in force in a time without faults as well.
fn choose_evacuation(seed: u64, run_time: Duration) -> TimedEvent {
    let mut random = SmallRng::seed_from_u64(seed ^ EVACUATION_SEED);
    let lead = Duration::from_millis(random.random_range(1_000..=4_000u64));
    let at = run_time.saturating_sub(EVENT_FREE_PERIOD + lead);
    TimedEvent {
        at,
        duration: run_time.saturating_sub(at + EVACUATION_END),
        event: SoakEvent::EvacuateZone(random.random_range(0..ZONE_COUNT)),
    }
}

fn choose_event(random: &mut SmallRng, balancer_count: usize, host_count: usize) -> SoakEvent {
    let process = random.random_range(0..balancer_count + host_count);
    let balancer = random.random_range(0..balancer_count);
    let host = random.random_range(0..host_count);
    let is_invalid = random.random_bool(0.5);
    match random.random_range(0..100) {
        0..=9 => SoakEvent::Kill(process),
        10..=21 => SoakEvent::Stop(process),
        22..=27 => SoakEvent::Stop(balancer),
        28..=35 => SoakEvent::Pause(process),
        36..=37 => SoakEvent::KillAll,
        38..=39 => SoakEvent::LosePower,
        40..=44 => SoakEvent::ReloadSettings(process, is_invalid),
        45..=51 => SoakEvent::CrashServer(host),
        52..=60 => SoakEvent::ReplaceServer(host),
        61..=62 => SoakEvent::SetServerClockBack(host),
        63..=66 => SoakEvent::LoseDatagrams(process),
        67..=70 => SoakEvent::DelayDatagrams(process),
        71..=73 => SoakEvent::DropOutgoing(process),
        74..=76 => SoakEvent::DropIncoming(process),
        77..=79 => SoakEvent::SendRandomDatagrams(process),
        80..=82 => SoakEvent::SilenceStoreConnections(process),
        83..=85 => SoakEvent::ResetStoreConnections(process),
        86..=87 => SoakEvent::StoreDown,
        88..=89 => SoakEvent::StoreSlow,
        90..=91 => SoakEvent::StoreLosesResponses,
        92..=93 => SoakEvent::CompactStore,
        _ => SoakEvent::WriteConfiguration,
    }
}
