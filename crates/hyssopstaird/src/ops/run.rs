//! Starts the components of a daemon, waits for a signal to stop, and drains the daemon.

use std::sync::Arc;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::settings::DaemonSettings;
use hyssopstair_rules::settings::RoleSettings;
use hyssopstair_telemetry::logs;
use hyssopstair_telemetry::logs::LogFormat;
use hyssopstair_wire::control::MemberState;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::admin;
use crate::balancer;
use crate::control;
use crate::control::node::ControlNode;
use crate::error::DaemonError;
use crate::host;
use crate::peer;
use crate::peer::server::PeerResponder;
use crate::telemetry::DaemonTelemetry;

/// Runs a balancer or a host until it receives SIGTERM or SIGINT and has drained.
///
/// # Errors
///
/// Returns an error if a component cannot be started.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let format =
        LogFormat::from_environment().map_err(|text| Report::new(DaemonError::new(text)))?;
    logs::start_logging(format);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| DaemonError::new("failed to start the worker threads"))?;
    let result = runtime.block_on(run_components(settings));
    // A blocking thread may still wait for a peer that does not respond. Its result is
    // no longer needed.
    runtime.shutdown_background();
    result
}

/// Starts all components and waits for a signal to stop. Then announces to the other
/// members that the process is draining, waits for the drain to end, and announces that
/// the process is gone.
async fn run_components(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let node = Arc::new(ControlNode::start(&settings).await?);
    log::info!(process:% = node.process_id(), zone = settings.zone.as_str(); "daemon: started");
    let telemetry = DaemonTelemetry::start(&settings, &node)?;
    tokio::spawn(admin::serve_requests(
        admin::bind_listener(settings.admin).await?,
        node.clone(),
        telemetry.metrics.clone(),
    ));
    let responder = PeerResponder::new(node.clone());
    let _peer_server = peer::start_server(settings.inner, &responder)?;
    control::spawn_loops(&node, &settings.platform);
    match &settings.role {
        RoleSettings::Balancer(role) => {
            balancer::start(role, node.clone()).await?;
            wait_for_stop().await?;
            node.announce_state(MemberState::Draining).await;
            balancer::wait_for_drain().await;
        }
        RoleSettings::Host(role) => {
            let handle = host::start(role, node.clone(), &responder).await?;
            wait_for_stop().await?;
            node.announce_state(MemberState::Draining).await;
            handle.drain().await;
        }
    }
    node.announce_state(MemberState::Gone).await;
    log::info!("daemon: stopped");
    telemetry.stop(&node).await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_stop() -> Result<(), Report<DaemonError>> {
    let context = || DaemonError::new("failed to wait for signals");
    let mut terminate = signal(SignalKind::terminate()).change_context_lazy(context)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context_lazy(context)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
