//! Runs the stand-in for a backend server.

use std::net::SocketAddr;

use argh::FromArgs;
use hyssopstair_testkit::backend::BackendBehaviour;
use hyssopstair_testkit::backend::BackendServer;
use tokio::net::TcpListener;

/// Serve the requests and feeds of a service.
#[derive(FromArgs)]
struct BackendArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,

    /// name of the service
    #[argh(option)]
    service: String,

    /// number of requests that can run at once
    #[argh(option, default = "3")]
    slots: usize,

    /// time that a request takes, in milliseconds
    #[argh(option, default = "20")]
    work: u64,

    /// time after the start for which requests take longer, in milliseconds
    #[argh(option, default = "0")]
    cold: u64,

    /// additional time that a request takes after the start, in milliseconds
    #[argh(option, default = "0")]
    cold_work: u64,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: BackendArgs = argh::from_env();
    let behaviour = BackendBehaviour {
        slots: args.slots,
        work_millis: args.work,
        cold_millis: args.cold,
        cold_work_millis: args.cold_work,
        ..BackendBehaviour::default()
    };
    let server = BackendServer::new(&args.service, behaviour);
    let listener = TcpListener::bind(args.listen).await?;
    axum::serve(listener, server.router()).await
}
