//! Runs the stand-in for the platform's key-value service.

use std::net::SocketAddr;

use argh::FromArgs;
use hyssopstair_testkit::platform::PlatformStore;
use tokio::net::TcpListener;

/// Serve the etcd v3 API in JSON, with keys and values in memory.
#[derive(FromArgs)]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: PlatformArgs = argh::from_env();
    let listener = TcpListener::bind(args.listen).await?;
    axum::serve(listener, PlatformStore::default().router()).await
}
