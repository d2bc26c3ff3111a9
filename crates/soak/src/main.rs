//! Injects random faults into real processes and reports violated invariants.
//!
//! The last line of the output is the report in JSON. The exit status is 1 if an
//! invariant was violated, and 2 if the run could not be completed.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use hyssopstair_soak::plan::FleetSize;
use hyssopstair_soak::plan::SoakPlan;
use hyssopstair_soak::program::SoakPrograms;
use hyssopstair_soak::run::SoakOptions;
use hyssopstair_soak::run::run_plan;

/// Inject random faults into real processes on loopback.
#[derive(Debug, FromArgs)]
struct SoakArgs {
    /// seed of the random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// length of the run in minutes, such as 0.5
    #[argh(option, default = "0.5")]
    minutes: f64,
    /// number of processes, balancers and hosts together
    #[argh(option, default = "10")]
    processes: u16,
    /// number of balancers among them, a third if not given
    #[argh(option)]
    balancers: Option<u16>,
    /// path of the hyssopstaird program
    #[argh(option)]
    program: PathBuf,
    /// path of the program in another build, with which the run begins; processes are then
    /// replaced one after the other
    #[argh(option)]
    former_program: Option<PathBuf>,
    /// directory for settings and logs
    #[argh(option)]
    directory: PathBuf,
}

fn main() -> ExitCode {
    let args: SoakArgs = argh::from_env();
    let size = FleetSize::from_processes(args.processes, args.balancers);
    let mut plan = SoakPlan::from_seed(args.seed, args.minutes, size);
    if args.former_program.is_some() {
        plan = plan.with_upgrade();
    }
    let options = SoakOptions {
        programs: SoakPrograms {
            current: args.program,
            former: args.former_program,
        },
        directory: args.directory,
    };
    match run_plan(&plan, &options) {
        Ok(report) => {
            println!("{}", report.to_json_line());
            ExitCode::from(u8::from(!report.findings.is_empty()))
        }
        Err(error) => {
            eprintln!("soak: {error:?}");
            ExitCode::from(2)
        }
    }
}
