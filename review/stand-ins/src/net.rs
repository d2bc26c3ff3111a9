//! The addresses, processes and records of one run.

use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

pub const PACKETS: u16 = 8172;
pub const READY: u16 = 8167;
pub const CONTROL: u16 = 8166;
pub const APP: u16 = 8165;
pub const OUTBOUND: u16 = 8162;
pub const STORE: u16 = 8169;
pub const METRICS: u16 = 9464;
pub const STORE_OCTET: u8 = 250;

pub struct Net {
    prefix: [u8; 2],
    _reserved: TcpListener,
    pub folder: PathBuf,
    started: Instant,
    record: Mutex<File>,
    broken: Mutex<Vec<String>>,
}

impl Net {
    /// Takes a range of loopback addresses that nothing listens on.
    pub fn reserve(record: &str) -> std::io::Result<Self> {
        let id = std::process::id();
        for step in 0..20_000u32 {
            let number = id.wrapping_mul(37).wrapping_add(step);
            let prefix = [20 + (number / 200 % 200) as u8, 20 + (number % 200) as u8];
            let address = |octet| Ipv4Addr::new(127, prefix[0], prefix[1], octet);
            let Ok(reserved) = TcpListener::bind((address(254), 9)) else {
                continue;
            };
            let is_free = [(1, READY), (11, CONTROL), (STORE_OCTET, STORE)]
                .iter()
                .all(|(octet, port)| TcpListener::bind((address(*octet), *port)).is_ok());
            if !is_free {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("hyssopstair-review-{id}"));
            fs::create_dir_all(&folder)?;
            return Ok(Self {
                prefix,
                _reserved: reserved,
                folder,
                started: Instant::now(),
                record: Mutex::new(File::create(record)?),
                broken: Mutex::new(Vec::new()),
            });
        }
        Err(std::io::Error::other("no free range of loopback addresses"))
    }

    pub fn ip(&self, octet: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], octet)
    }

    pub fn at(&self, octet: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(octet), port)
    }

    /// Writes a line to the record.
    pub fn log(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.record.lock() {
            let _ = writeln!(file, "{at:8.3} {line}");
        }
    }

    /// Writes a line to the record, and counts it as a broken rule.
    pub fn broke(&self, line: &str) {
        self.log(&format!("BROKEN {line}"));
        if let Ok(mut broken) = self.broken.lock() {
            broken.push(line.to_owned());
        }
    }

    pub fn broken_count(&self) -> usize {
        self.broken.lock().map_or(0, |broken| broken.len())
    }

    /// The settings of a process: what the templates of the deploy file give.
    pub fn settings(&self, role: &str, octet: u8, zone: &str, service: Option<&str>) -> String {
        let mut text = format!(
            "name: {role}-{octet}\nrole: {role}\nzone: {zone}\npackets: {}\nreadiness: {}\n\
             metrics: \"{}\"\ninner_ports: [7720, 7735]\ncontacts: [\"{}\", \"{}\"]\nstore: {}\n\
             max_flow_seconds: 60\ngrace_seconds: 6\nevacuation: false\n",
            self.at(octet, PACKETS),
            self.at(octet, READY),
            self.at(octet, METRICS),
            self.at(1, CONTROL),
            self.at(2, CONTROL),
            self.at(STORE_OCTET, STORE),
        );
        if let Some(service) = service {
            text += &format!(
                "server_pace: true\nserver:\n  service: {service}\n  address: {}\n  outbound: {}\n  \
                 heartbeats: {}\n",
                self.at(octet, APP),
                self.at(octet, OUTBOUND),
                self.at(octet, CONTROL),
            );
        }
        text
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, name: &str, settings: &str) -> std::io::Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/hyssopstaird")
            .arg("--carry")
            .arg(&path)
            .stdout(log)
            .spawn()?;
        self.log(&format!("process {name} started, pid {}", child.id()));
        Ok(Process { child })
    }
}

/// A process, which is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends an HTTP call, and returns the status and the body of its answer.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n")?.1.to_owned();
    Some((status, body))
}

pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// A small generator of numbers; the seed is the time.
pub fn random() -> u32 {
    use std::hash::BuildHasher;
    use std::hash::Hasher;
    let hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.finish() as u32
}
