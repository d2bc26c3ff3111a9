//! The processes under test: started with the command of the deploy file and with settings
//! from its templates, and ended by their own IDs.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::consumer::{PACKET_PORT, READY_PORT};
use crate::server::{CONTROL_PORT, OUTBOUND_PORT, SERVER_PORT};
use crate::util::random;

pub const STORE_PORT: u16 = 8_169;

/// The loopback network of a run: 127.n.0.0/16.
pub struct Network {
    octet: u8,
    _guard: TcpListener,
}

impl Network {
    pub fn reserve() -> Option<Self> {
        (0..200).find_map(|_| {
            let octet = 20 + (random() % 200) as u8;
            let guard = TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), 9_009)).ok()?;
            Some(Self {
                octet,
                _guard: guard,
            })
        })
    }

    pub fn balancer(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 1, number + 1)
    }

    pub fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 2, number + 1)
    }

    pub fn consumer(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 3, number + 1)
    }

    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.octet, 5, 1), STORE_PORT)
    }
}

pub struct Daemon {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// The settings that the platform fills a template with.
pub struct Fields<'a> {
    pub name: String,
    pub zone: &'a str,
    pub ip: Ipv4Addr,
    pub service: &'a str,
    pub seeds: Vec<Ipv4Addr>,
    pub store: SocketAddrV4,
    pub has_evacuation: bool,
}

impl Daemon {
    pub fn create(directory: &Path, template: &str, fields: &Fields<'_>) -> std::io::Result<Self> {
        let quote = |text: String| format!("\"{text}\"");
        let ip = fields.ip;
        let seeds: Vec<String> = fields
            .seeds
            .iter()
            .map(|seed| quote(format!("{seed}:{CONTROL_PORT}")))
            .collect();
        let evacuation = "{{#bounds.evacuateMs}}true{{/bounds.evacuateMs}}{{^bounds.evacuateMs}}false{{/bounds.evacuateMs}}";
        let text = std::fs::read_to_string(template)?
            .replace(evacuation, if fields.has_evacuation { "true" } else { "false" })
            .replace("{{nodeName|json}}", &quote(fields.name.clone()))
            .replace("{{zone|json}}", &quote(fields.zone.to_owned()))
            .replace("{{listenAddrs.datagramAddr|json}}", &quote(format!("{ip}:{PACKET_PORT}")))
            .replace("{{listenAddrs.readyAddr|json}}", &quote(format!("{ip}:{READY_PORT}")))
            .replace("{{listenAddrs.outbound|json}}", &quote(format!("{ip}:{OUTBOUND_PORT}")))
            .replace("{{listenAddrs.controlPlane|json}}", &quote(format!("{ip}:{CONTROL_PORT}")))
            .replace("{{app|json}}", &quote(format!("{ip}:{SERVER_PORT}")))
            .replace("{{service|json}}", &quote(fields.service.to_owned()))
            .replace("{{ip}}", &ip.to_string())
            .replace("{{internalPortRange}}", "7720,7735")
            .replace("{{seeds|json}}", &format!("[{}]", seeds.join(",")))
            .replace("{{platform.address|json}}", &quote(fields.store.to_string()))
            .replace("{{bounds.maxFlowS}}", "60")
            .replace("{{bounds.gracePeriodS}}", "6");
        let settings = directory.join(format!("{}.yaml", fields.name));
        std::fs::write(&settings, text)?;
        Ok(Self {
            ip,
            settings,
            program: std::env::current_dir()?.join("target/release/hyssopstaird"),
            child: None,
        })
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(&self.program)
            .arg("--carry")
            .env_clear()
            .env("HYSSOPSTAIR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Changes the settings file as the platform does when the seeds have changed; no signal is
    /// sent.
    pub fn replace_seed(&self, former: Ipv4Addr, present: Ipv4Addr) -> std::io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let quote = |ip: Ipv4Addr| format!("\"{ip}:{CONTROL_PORT}\"");
        std::fs::write(&self.settings, text.replace(&quote(former), &quote(present)))
    }

    /// The ID of the process; 0 if it isn't running.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process, by its ID.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {}", child.id()))
                .status();
        }
    }

    /// Waits until the process has ended, and returns whether it has.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        true
    }

    /// Whether the process has ended although nobody stopped it.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => false,
        }
    }

    /// Waits until the process listens for pings.
    pub fn wait_for_control(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let address = SocketAddrV4::new(self.ip, CONTROL_PORT);
        while Instant::now() < end {
            if TcpStream::connect_timeout(&address.into(), Duration::from_millis(50)).is_ok() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the processor time that a process has used, in seconds.
pub fn processor_seconds(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|field| field.parse::<u64>().ok()).sum();
    ticks as f64 / 100.0
}
