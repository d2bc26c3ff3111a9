//! A balancer or host process. Signals are sent by process ID, so that a run affects only
//! processes that it started.

use std::fs::File;
use std::fs::OpenOptions;
use std::net::Ipv4Addr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use error_stack::Report;
use error_stack::ResultExt;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::SoakError;
use crate::network::HEARTBEAT_PORT;
use crate::network::INNER_BIND_PORT;
use crate::network::INNER_PORT;
use crate::network::METRICS_PORT;
use crate::network::OUTBOUND_PORT;
use crate::network::PACKET_PORT;
use crate::network::READINESS_PORT;
use crate::network::SERVER_PORT;
use crate::network::SoakNetwork;
use crate::plan::SoakBuild;

/// Number of availability zones that the processes are in.
pub const ZONE_COUNT: u8 = 3;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessRole {
    /// Receives the packets of callers.
    Balancer,
    /// Runs beside a backend server.
    Host,
}

/// Paths of the program in its two builds.
#[derive(Debug, Clone)]
pub struct SoakPrograms {
    /// The build that is tested.
    pub current: PathBuf,
    /// The build with which the run begins, if the processes are replaced during it.
    pub former: Option<PathBuf>,
}

impl SoakPrograms {
    fn path(&self, build: SoakBuild) -> &Path {
        match (build, &self.former) {
            (SoakBuild::Former, Some(former)) => former,
            (SoakBuild::Former, None) | (SoakBuild::Current, _) => &self.current,
        }
    }
}

/// A process of the system, whether it is running or not.
#[derive(Debug)]
pub struct SoakProcess {
    /// Address of the process.
    pub address: Ipv4Addr,
    /// Role of the process.
    pub role: ProcessRole,
    programs: SoakPrograms,
    build: SoakBuild,
    settings_path: PathBuf,
    /// The settings, with `{service}` in place of the name of the service.
    settings_template: String,
    service: &'static str,
    child: Option<Child>,
}

impl SoakProcess {
    /// Creates a process that is not running, and writes its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written.
    pub fn create(
        network: &SoakNetwork,
        role: ProcessRole,
        number: usize,
        programs: &SoakPrograms,
        directory: &Path,
    ) -> Result<Self, Report<SoakError>> {
        let address = match role {
            ProcessRole::Balancer => network.balancer_address(number),
            ProcessRole::Host => network.host_address(number),
        };
        let process = Self {
            address,
            role,
            programs: programs.clone(),
            build: SoakBuild::Former,
            settings_path: directory.join(format!("{role:?}-{number}.yaml")),
            settings_template: build_settings_template(network, role, number, address),
            service: "one",
            child: None,
        };
        process.write_settings(false)?;
        Ok(process)
    }

    /// Writes the settings, which are invalid if `is_invalid` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_settings(&self, is_invalid: bool) -> Result<(), Report<SoakError>> {
        let invalid_line = if is_invalid {
            "inner_ports: [9, 1]\n"
        } else {
            ""
        };
        let text = self.settings_template.replace("{service}", self.service) + invalid_line;
        let context = || SoakError("failed to write the settings of a process".to_owned());
        // A process that starts meanwhile must not read a part of the file.
        let new_path = self.settings_path.with_extension("new");
        std::fs::write(&new_path, text).change_context_lazy(context)?;
        std::fs::rename(&new_path, &self.settings_path).change_context_lazy(context)
    }

    /// Sets the service of a host's backend server, and writes the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written.
    pub fn set_service(&mut self, service: &'static str) -> Result<(), Report<SoakError>> {
        self.service = service;
        self.write_settings(false)
    }

    /// Sets the build with which the process starts next.
    pub fn set_build(&mut self, build: SoakBuild) {
        self.build = build;
    }

    /// Starts the process, unless it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn start(&mut self) -> Result<(), Report<SoakError>> {
        if self.child.is_some() {
            return Ok(());
        }
        let program = self.programs.path(self.build);
        let context = || SoakError(format!("failed to start {}", program.display()));
        let log = self.open_log().change_context_lazy(context)?;
        let error_log = log.try_clone().change_context_lazy(context)?;
        let child = Command::new(program)
            .arg("--carry")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(error_log))
            .spawn()
            .change_context_lazy(context)?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub fn send_signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The signal fails if the process has just exited.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process was started and its exit status was not taken yet.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the exit status if the process has exited. The status is returned only once.
    pub fn take_exit_status(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.to_string())
    }

    fn open_log(&self) -> std::io::Result<File> {
        OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings_path.with_extension("log"))
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the number of the availability zone of a process.
pub fn zone_of_process(number: usize) -> u8 {
    (number % usize::from(ZONE_COUNT)) as u8
}

/// Returns the settings of a process, with `{service}` in place of the name of the service.
fn build_settings_template(
    network: &SoakNetwork,
    role: ProcessRole,
    number: usize,
    address: Ipv4Addr,
) -> String {
    let (role_name, server) = match role {
        ProcessRole::Balancer => ("balancer", String::new()),
        ProcessRole::Host => (
            "host",
            format!(
                "server:\n  service: {{service}}\n  address: {address}:{SERVER_PORT}\n  \
                 outbound: {address}:{OUTBOUND_PORT}\n  heartbeats: {address}:{HEARTBEAT_PORT}\n"
            ),
        ),
    };
    // With only two contacts, a process must learn of all others by gossip.
    let contacts = [network.balancer_address(0), network.balancer_address(1)]
        .map(|ip| format!("{ip}:{INNER_PORT}"));
    format!(
        "name: {role_name}-{number}\nrole: {role_name}\nzone: z{}\npackets: {address}:{PACKET_PORT}\n\
         readiness: {address}:{READINESS_PORT}\nmetrics: {address}:{METRICS_PORT}\n\
         inner_ports: [{INNER_PORT}, {INNER_PORT}]\ninner_bind: {INNER_BIND_PORT}\n\
         contacts: [{}]\nstore: {}\nmax_flow_seconds: 60\ngrace_seconds: 6\n\
         evacuation: true\nserver_pace: true\n{server}",
        zone_of_process(number),
        contacts.join(", "),
        network.store_relay_address(address),
    )
}
