//! The project's own programs as separate processes, started as the deploy file says.

use std::fs::File;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// The processes that were started and whose end was not waited for.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Kills all processes that are left, after an error.
pub fn kill_all() {
    if let Ok(running) = RUNNING.lock() {
        for pid in running.iter() {
            unsafe { kill(*pid, SIGKILL) };
        }
    }
}

pub struct Program {
    pub name: String,
    pub address: Ipv4Addr,
    path: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    pub fn new(name: &str, address: Ipv4Addr, settings: &str, path: &Path, folder: &Path) -> Self {
        let settings_path = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings_path, settings).expect("settings");
        Self {
            name: name.to_owned(),
            address,
            path: path.to_owned(),
            settings: settings_path,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Replaces a part of the settings file, as the platform does.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("settings");
        std::fs::write(&self.settings, text.replace(from, to)).expect("settings");
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let child = Command::new(&self.path)
            .arg("--carry")
            .env("HYSSOPSTAIR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("program");
        RUNNING.lock().unwrap().push(child.id() as i32);
        self.child = Some(child);
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Stops the process as planned: SIGTERM, and SIGKILL after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        self.signal(SIGTERM);
        let end = Instant::now() + grace;
        while Instant::now() < end && self.is_running() {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING
                .lock()
                .unwrap()
                .retain(|pid| *pid != child.id() as i32);
        }
    }

    pub fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
