//! Starts the parts of a daemon and waits for the signal to stop.

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

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// Returns an error when a part cannot start.
pub fn run_daemon(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let format =
        LogFormat::from_environment().map_err(|text| Report::new(DaemonError::new(text)))?;
    logs::start(format);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context_lazy(|| DaemonError::new("failed to start threads"))?;
    let result = runtime.block_on(run_parts(settings));
    // A thread may wait for a peer that is frozen; nothing depends on it now.
    runtime.shutdown_background();
    result
}

async fn run_parts(settings: DaemonSettings) -> Result<(), Report<DaemonError>> {
    let node = Arc::new(ControlNode::start(&settings).await?);
    log::info!(process:% = node.process_id(), zone = settings.zone.as_str(); "daemon: started");
    let telemetry = DaemonTelemetry::start(&settings, &node)?;
    tokio::spawn(admin::serve(
        admin::bind(settings.admin).await?,
        node.clone(),
        telemetry.metrics.clone(),
    ));
    let desk = PeerResponder::new(node.clone());
    let _peers = peer::start_server(settings.inner, &desk)?;
    control::spawn_loops(&node, &settings.platform);
    match &settings.role {
        RoleSettings::Balancer(role) => {
            balancer::start(role, node.clone()).await?;
            wait_for_stop().await?;
            node.declare(MemberState::Draining).await;
            balancer::drain().await;
        }
        RoleSettings::Host(role) => {
            let handle = host::start(role, node.clone(), &desk).await?;
            wait_for_stop().await?;
            node.declare(MemberState::Draining).await;
            handle.drain().await;
        }
    }
    node.declare(MemberState::Gone).await;
    log::info!("daemon: stopped");
    telemetry.stop(&node).await;
    Ok(())
}

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
