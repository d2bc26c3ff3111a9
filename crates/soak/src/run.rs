//! Executes a plan, from the start of the processes to the report.

use std::cell::RefCell;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_stand_in::store::StandInStore;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::signal::ctrl_c;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::SoakError;
use crate::caller::SoakCaller;
use crate::checker::SoakChecker;
use crate::checker::SoakTally;
use crate::fleet::SoakFleet;
use crate::fleet::configuration::initial_service;
use crate::fleet::configuration::target_address;
use crate::network::SoakNetwork;
use crate::plan::EVENT_FREE_PERIOD;
use crate::plan::SoakPlan;
use crate::program::ProcessRole;
use crate::program::SoakProcess;
use crate::program::SoakPrograms;
use crate::program::zone_of_process;
use crate::relay::SoakRelay;
use crate::router::SoakRouter;
use crate::server::SoakServer;

/// Number of callers for each host.
const CALLERS_PER_HOST: usize = 4;

/// Delay after the start of the run before callers send requests.
const CALLER_START_DELAY: Duration = Duration::from_secs(2);

/// Time at the end of a run in which most requests must be answered.
const FINAL_CHECK_PERIOD: Duration = Duration::from_secs(4);

/// The programs and the directory of a run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Paths of the hyssopstaird program.
    pub programs: SoakPrograms,
    /// Directory for settings and logs, which is created if needed.
    pub directory: PathBuf,
}

/// The result of a run.
#[derive(Debug)]
pub struct SoakReport {
    seed: u64,
    process_count: usize,
    event_count: usize,
    tally: SoakTally,
    /// Descriptions of the violated invariants.
    pub findings: Vec<String>,
}

impl SoakReport {
    /// Returns the report as a line of JSON.
    pub fn to_json_line(&self) -> String {
        let SoakTally {
            answered,
            late,
            refused,
            broken,
            given_up,
        } = self.tally;
        json!({
            "seed": self.seed, "processes": self.process_count, "events": self.event_count,
            "answered": answered, "late": late, "refused": refused, "broken": broken,
            "given_up": given_up, "findings": self.findings,
        })
        .to_string()
    }
}

/// Executes a plan and returns its report.
///
/// # Errors
///
/// Returns an error if the run cannot be set up or is interrupted by a signal.
pub fn run_plan(plan: &SoakPlan, options: &SoakOptions) -> Result<SoakReport, Report<SoakError>> {
    let context = || SoakError("failed to set up the run".to_owned());
    std::fs::create_dir_all(&options.directory).change_context_lazy(context)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context_lazy(context)?;
    LocalSet::new().block_on(&runtime, async {
        // Dropping the fleet kills all processes that it started.
        let mut terminate = signal(SignalKind::terminate()).change_context_lazy(context)?;
        tokio::select! {
            report = execute_plan(plan, options) => report,
            _ = terminate.recv() => Err(Report::new(SoakError("terminated by SIGTERM".to_owned()))),
            _ = ctrl_c() => Err(Report::new(SoakError("interrupted by SIGINT".to_owned()))),
        }
    })
}

async fn execute_plan(
    plan: &SoakPlan,
    options: &SoakOptions,
) -> Result<SoakReport, Report<SoakError>> {
    let started_at = Instant::now();
    let network = SoakNetwork::reserve()?;
    let checker = Rc::new(RefCell::new(SoakChecker::new(started_at)));
    let fleet = create_fleet(plan, options, &network, &checker).await?;
    start_callers(plan, &network, &checker).await?;
    fleet.write_configuration();
    for host in 0..plan.host_count {
        fleet.set_service(host, initial_service(host));
        fleet.start_server(host, Duration::ZERO).await;
    }
    let background_tasks = [
        spawn_local(fleet.clone().supervise()),
        spawn_local(fleet.clone().check_versions()),
        spawn_local(fleet.clone().copy_store()),
    ];
    for timed_event in &plan.events {
        sleep_until((started_at + timed_event.at).into()).await;
        fleet.apply_event(timed_event.event, timed_event.duration);
    }
    sleep_until((started_at + plan.run_time - FINAL_CHECK_PERIOD.min(EVENT_FREE_PERIOD)).into())
        .await;
    checker.borrow_mut().is_final_check = true;
    sleep_until((started_at + plan.run_time).into()).await;
    checker.borrow_mut().check_final_requests(Instant::now());
    let newest_version = fleet.newest_version();
    checker
        .borrow_mut()
        .check_final_versions(Instant::now(), newest_version);
    for task in background_tasks {
        task.abort();
    }
    fleet.stop_all().await;
    let checker = checker.borrow();
    Ok(SoakReport {
        seed: plan.seed,
        process_count: plan.balancer_count + plan.host_count,
        event_count: plan.events.len(),
        tally: checker.tally,
        findings: checker.findings.clone(),
    })
}

/// Starts the store and the relay, and creates the fleet without starting its processes.
async fn create_fleet(
    plan: &SoakPlan,
    options: &SoakOptions,
    network: &SoakNetwork,
    checker: &Rc<RefCell<SoakChecker>>,
) -> Result<SoakFleet, Report<SoakError>> {
    let context = || SoakError("failed to bind an address of the store or of the relay".to_owned());
    let store = StandInStore::default();
    store
        .start(network.store_address())
        .await
        .change_context_lazy(context)?;
    let relay = SoakRelay::new(plan.seed, network.store_address());
    let processes = create_processes(plan, network, &options.programs, &options.directory)?;
    for process in &processes {
        let address = process.address;
        let store_listen_address = network.store_relay_address(address);
        relay
            .add_process(address, store_listen_address)
            .await
            .change_context_lazy(context)?;
    }
    let servers = (0..plan.host_count)
        .map(|host| {
            // The settings name the zone by the number among the processes of the role.
            let zone = zone_of_process(host);
            SoakServer::new(network.host_address(host), zone, Rc::clone(checker))
        })
        .collect();
    Ok(SoakFleet::new(
        processes,
        plan.balancer_count,
        servers,
        relay,
        store,
        Rc::clone(checker),
        plan.seed,
    ))
}

fn create_processes(
    plan: &SoakPlan,
    network: &SoakNetwork,
    programs: &SoakPrograms,
    directory: &Path,
) -> Result<Vec<SoakProcess>, Report<SoakError>> {
    let balancers = (0..plan.balancer_count).map(|number| (ProcessRole::Balancer, number));
    let hosts = (0..plan.host_count).map(|number| (ProcessRole::Host, number));
    balancers
        .chain(hosts)
        .map(|(role, number)| SoakProcess::create(network, role, number, programs, directory))
        .collect()
}

/// Starts the routers, and the callers with a delay.
async fn start_callers(
    plan: &SoakPlan,
    network: &SoakNetwork,
    checker: &Rc<RefCell<SoakChecker>>,
) -> Result<(), Report<SoakError>> {
    let balancers: Vec<_> = (0..plan.balancer_count)
        .map(|number| network.balancer_address(number))
        .collect();
    let router = SoakRouter::new(&balancers, plan.uses_modulo_hashing);
    router.start_probes();
    for number in 0..(plan.host_count * CALLERS_PER_HOST).min(200) {
        let caller = SoakCaller::bind(
            network.caller_address(number),
            router.clone(),
            Rc::clone(checker),
            (0..4).map(target_address).collect(),
            plan.seed.wrapping_mul(1_000) + number as u64,
        )
        .await
        .change_context_lazy(|| SoakError("failed to bind the address of a caller".to_owned()))?;
        spawn_local(async move {
            tokio::time::sleep(CALLER_START_DELAY).await;
            caller.run().await;
        });
    }
    Ok(())
}
