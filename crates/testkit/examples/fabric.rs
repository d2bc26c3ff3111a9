//! Runs the stand-in for the network fabric.

use std::net::SocketAddrV4;

use argh::FromArgs;
use hyssopstair_testkit::fabric;
use hyssopstair_testkit::fabric::FabricBalancer;
use hyssopstair_testkit::fabric::FabricFaults;
use hyssopstair_testkit::fabric::FabricPlan;

/// Send each packet of callers to a random balancer that is ready.
#[derive(FromArgs)]
struct FabricArgs {
    /// address for packets from and to balancers
    #[argh(option)]
    tunnel: SocketAddrV4,

    /// address of a service; may be given more than once
    #[argh(option)]
    service: Vec<SocketAddrV4>,

    /// packet and admin address of a balancer as ENTRY,ADMIN; may be given more than once
    #[argh(option, from_str_fn(parse_balancer))]
    balancer: Vec<FabricBalancer>,

    /// share of packets that are lost, from 0 to 1
    #[argh(option, default = "0.0")]
    loss: f64,

    /// share of packets that are sent twice, from 0 to 1
    #[argh(option, default = "0.0")]
    duplicate: f64,

    /// share of packets that are delayed, from 0 to 1
    #[argh(option, default = "0.0")]
    reorder: f64,

    /// seed of the random choices
    #[argh(option, default = "1")]
    seed: u64,
}

fn parse_balancer(text: &str) -> Result<FabricBalancer, String> {
    let (entry, admin) = text.split_once(',').ok_or("expected ENTRY,ADMIN")?;
    let parse = |part: &str| {
        part.parse()
            .map_err(|_| format!("\"{part}\" is not an address as IP:PORT"))
    };
    Ok(FabricBalancer {
        entry: parse(entry)?,
        admin: parse(admin)?,
    })
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args: FabricArgs = argh::from_env();
    fabric::run_fabric(FabricPlan {
        tunnel: args.tunnel,
        services: args.service,
        balancers: args.balancer,
        faults: FabricFaults {
            loss: args.loss,
            duplicate: args.duplicate,
            reorder: args.reorder,
        },
        seed: args.seed,
    })
    .await
}
