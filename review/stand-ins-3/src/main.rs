//! A small deployment on loopback: the project's own programs as separate processes, between
//! stand-ins for the store, the routers, consumers and hosts.
//!
//!     fleet CASE FOLDER
//!
//! writes `record.txt` into FOLDER and exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod fleet;
mod http;
mod net;
mod process;
mod store;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: fleet CASE FOLDER");
        std::process::exit(2);
    };
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |information| {
        print(information);
        process::kill_all();
        std::process::exit(2);
    }));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    std::process::exit(cases::run(case, std::path::Path::new(folder), has_trouble));
}
