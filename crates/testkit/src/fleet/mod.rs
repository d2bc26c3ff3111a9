//! A small fleet of real processes for tests: stand-ins, balancers and hosts. Each fleet
//! has loopback addresses of its own, so that tests can run at the same time.
//!
//! Processes are named `platform`, `fabric`, `balancer-1`, `SERVICE-1` and
//! `SERVICE-1-backend`, and can be killed, signalled and restarted by name. All processes
//! are killed when the fleet is dropped. The programs must have been built.

pub mod error;
pub mod plan;
pub mod process;

use std::cell::Cell;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

use crate::backend::BackendReport;
use crate::fleet::process::fetch_json;
use crate::fleet::process::program_path;
use crate::fleet::process::reserve_network;
use crate::fleet::process::spawn_program;

pub use crate::fleet::error::FleetError;
pub use crate::fleet::plan::FleetPlan;
pub use crate::fleet::plan::ServicePlan;

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Port of a daemon for messages of other daemons.
const INNER_PORT: u16 = 7_000;
/// Port of a daemon's admin endpoint.
const ADMIN_PORT: u16 = 7_100;
/// Port of a balancer for packets of the fabric.
const ENTRY_PORT: u16 = 7_200;
/// Port of a backend server.
const BACKEND_PORT: u16 = 8_000;
/// Port of a service at the fabric.
const SERVICE_PORT: u16 = 4_433;

/// A process of the fleet.
#[derive(Debug)]
struct FleetProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    /// `None` after the process was killed or has exited.
    child: Option<Child>,
}

/// A running fleet.
#[derive(Debug)]
pub struct TestFleet {
    plan: FleetPlan,
    /// Second and third octet of the fleet's addresses.
    network: [u8; 2],
    directory: TempDir,
    processes: Vec<FleetProcess>,
    /// Version of the configuration that was applied last.
    applied_version: Cell<u64>,
    /// Holds the reservation of the network.
    _guard: TcpListener,
}

impl TestFleet {
    /// Starts a fleet, applies its initial rules, and waits until every daemon knows every
    /// host.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started, the rules cannot be applied, or the
    /// hosts are not known in time.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let (network, reservation) = reserve_network()?;
        let mut fleet = Self {
            plan,
            network,
            directory: TempDir::new()?,
            processes: Vec::new(),
            applied_version: Cell::new(0),
            _guard: reservation,
        };
        fleet.write_keys()?;
        fleet.start_processes()?;
        match fleet.apply_initial_rules().await {
            Ok(()) => Ok(fleet),
            Err(error) => {
                fleet.print_logs();
                Err(error)
            }
        }
    }

    async fn apply_initial_rules(&self) -> Result<(), FleetError> {
        self.wait_for_platform().await?;
        let rules = self.initial_rules();
        self.apply_rules(&rules).await?;
        self.wait_until_hosts_known().await
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> SocketAddrV4 {
        self.address(2, 2_379)
    }

    /// Returns the path of the certificate that callers must trust.
    pub fn certificate_path(&self) -> PathBuf {
        self.file_path("certificate.pem")
    }

    /// Returns the address to which callers of a service send datagrams.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such service.
    pub fn service_address(&self, name: &str) -> SocketAddrV4 {
        let index = self.service_index(name) as u8;
        self.address(10 + index, SERVICE_PORT)
    }

    /// Returns the admin address of a daemon.
    pub fn admin_address(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance_ip(name), ADMIN_PORT)
    }

    /// Returns the address of a daemon for messages of other daemons.
    pub fn inner_address(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance_ip(name), INNER_PORT)
    }

    /// Returns the address of the backend server beside a host.
    pub fn backend_address(&self, host: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance_ip(host), BACKEND_PORT)
    }

    /// Returns the names of all balancers, whether they are running or not.
    pub fn balancer_names(&self) -> Vec<String> {
        (1..=self.plan.balancer_count)
            .map(|number| format!("balancer-{number}"))
            .collect()
    }

    /// Returns the names of all hosts, whether they are running or not.
    pub fn host_names(&self) -> Vec<String> {
        let services = self.plan.services.iter();
        services
            .flat_map(|service| {
                (1..=service.host_count).map(|number| format!("{}-{number}", service.name))
            })
            .collect()
    }

    /// Returns the text of the rule file that is applied when the fleet starts.
    pub fn initial_rules(&self) -> String {
        let mut text = String::from("zone utr-a id 1 # test: the only zone\n");
        for (index, service) in self.plan.services.iter().enumerate() {
            let name = service.name;
            let slots = service.slots;
            let address = self.service_address(name);
            let id = index + 1;
            text.push_str(&format!(
                "service {name} id {id} address {address} # test\n"
            ));
            text.push_str(&format!(
                "limit {name} slots {slots} connections 2000 queue 6 # test\n"
            ));
            text.push_str(&format!("deadline {name} 5000 # test\n"));
            text.push_str(&format!("idempotent {name} GET / # test\n"));
            text.push_str(&format!("stream {name} /feed/ # test\n"));
        }
        text.push_str("key 1 # test\n");
        text
    }

    /// Applies a rule file with the hyssopstair command, and waits until all running daemons
    /// have confirmed it.
    ///
    /// # Errors
    ///
    /// Returns an error with the output of the command if it fails.
    pub async fn apply_rules(&self, rules: &str) -> Result<(), FleetError> {
        self.apply_rules_confirmed_by(rules, &self.running_daemon_names())
            .await
    }

    /// Applies a rule file with the hyssopstair command, and waits until the named daemons
    /// have confirmed it.
    ///
    /// # Errors
    ///
    /// Returns an error with the output of the command if it fails.
    pub async fn apply_rules_confirmed_by(
        &self,
        rules: &str,
        daemons: &[String],
    ) -> Result<(), FleetError> {
        let path = self.file_path("rules.txt");
        fs::write(&path, rules)?;
        let mut arguments = vec![
            "apply".to_owned(),
            "--platform".to_owned(),
            format!("http://{}", self.platform_address()),
        ];
        let applied_version = self.applied_version.get();
        if applied_version > 0 {
            arguments.push("--base".to_owned());
            arguments.push(applied_version.to_string());
        }
        for name in daemons {
            arguments.push("--confirm".to_owned());
            arguments.push(self.admin_address(name).to_string());
        }
        arguments.push(path.display().to_string());
        self.run_operator_command(&arguments).await?;
        self.applied_version.set(applied_version + 1);
        Ok(())
    }

    /// Runs the hyssopstair command and returns its output.
    ///
    /// # Errors
    ///
    /// Returns an error with the output of the command if it fails.
    pub async fn run_operator_command(&self, arguments: &[String]) -> Result<String, FleetError> {
        Self::run_command(arguments.to_vec()).await
    }

    /// Runs the hyssopstair command and returns its output. The future doesn't borrow the
    /// fleet, so that it can run in a task of its own.
    ///
    /// # Errors
    ///
    /// Returns an error with the output of the command if it fails.
    pub async fn run_command(arguments: Vec<String>) -> Result<String, FleetError> {
        let mut command = Command::new(program_path("hyssopstair"));
        command.args(arguments);
        let output = tokio::task::spawn_blocking(move || command.output())
            .await
            .map_err(|error| FleetError::Command(error.to_string()))??;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let errors = String::from_utf8_lossy(&output.stderr);
        Err(FleetError::Command(format!("{text}{errors}")))
    }

    /// Returns the status of a daemon, or `None` if it does not answer.
    pub async fn fetch_status(&self, name: &str) -> Option<Value> {
        let url = format!("http://{}/status", self.admin_address(name));
        fetch_json(&url).await
    }

    /// Returns the report of the backend server beside a host, or `None` if it does not
    /// answer.
    pub async fn fetch_backend_report(&self, host: &str) -> Option<BackendReport> {
        let url = format!("http://{}/report", self.backend_address(host));
        fetch_json(&url).await
    }

    /// Sends JSON to a stand-in with a POST request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or the response has an error status.
    pub async fn post_json(
        &self,
        address: SocketAddrV4,
        path: &str,
        body: &Value,
    ) -> Result<(), FleetError> {
        let response = reqwest::Client::new()
            .post(format!("http://{address}{path}"))
            .json(body)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        match response {
            Ok(_) => Ok(()),
            Err(error) => Err(FleetError::Command(error.to_string())),
        }
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process, it is not running, or the signal
    /// cannot be sent.
    pub fn send_signal(&self, name: &str, signal: Signal) -> Result<(), FleetError> {
        let process = self.find_process(name)?;
        let child = process
            .child
            .as_ref()
            .ok_or_else(|| FleetError::UnknownName(name.to_owned()))?;
        nix::sys::signal::kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Kills a process with SIGKILL and waits until it has exited. Does nothing if it is not
    /// running.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or it cannot be killed.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        let process = self.find_process_mut(name)?;
        if let Some(mut child) = process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until a process has exited, and returns whether its exit status was success.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or it does not exit within
    /// `time_limit`.
    pub async fn wait_for_exit(
        &mut self,
        name: &str,
        time_limit: Duration,
    ) -> Result<bool, FleetError> {
        let deadline = Instant::now() + time_limit;
        loop {
            let process = self.find_process_mut(name)?;
            let Some(child) = process.child.as_mut() else {
                return Ok(true);
            };
            if let Some(status) = child.try_wait()? {
                process.child = None;
                return Ok(status.success());
            }
            if Instant::now() > deadline {
                return Err(FleetError::Timeout(format!("the exit of {name}")));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts a process again after it was killed or has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process or it cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<(), FleetError> {
        let log_path = self.file_path(&format!("{name}.log"));
        let process = self.find_process_mut(name)?;
        process.child = Some(spawn_program(
            &process.program,
            &process.arguments,
            &log_path,
        )?);
        Ok(())
    }

    /// Starts a program as a process of the fleet under a new name.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn start_process(
        &mut self,
        name: &str,
        program_name: &str,
        arguments: Vec<String>,
    ) -> Result<(), FleetError> {
        let program = program_path(program_name);
        let log_path = self.file_path(&format!("{name}.log"));
        let child = Some(spawn_program(&program, &arguments, &log_path)?);
        self.processes.push(FleetProcess {
            name: name.to_owned(),
            program,
            arguments,
            child,
        });
        Ok(())
    }

    /// Writes the settings of a host and returns their path. The host uses the addresses of
    /// the daemon `instance_name`, which may be another host.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_host_settings(
        &self,
        name: &str,
        service: &str,
        instance_name: &str,
    ) -> Result<PathBuf, FleetError> {
        let instance = self.instance_ip(instance_name);
        let role = format!(
            "role:\n  host:\n    service: {service}\n    backend: {instance}:{BACKEND_PORT}\n    \
             certificate: {}\n    private_key: {}\n",
            self.certificate_path().display(),
            self.file_path("private-key.pem").display()
        );
        self.write_settings(name, instance, &role)
    }

    /// Returns the output of a process so far; empty if there is none.
    pub fn read_log(&self, name: &str) -> String {
        fs::read_to_string(self.file_path(&format!("{name}.log"))).unwrap_or_default()
    }

    /// Waits until every running daemon has as many candidates for new flows as there are
    /// running hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 20 seconds for a daemon.
    pub async fn wait_until_hosts_known(&self) -> Result<(), FleetError> {
        let expected_count = self
            .host_names()
            .iter()
            .filter(|name| self.is_running(name))
            .count();
        for name in self.running_daemon_names() {
            self.wait_for(&format!("{name} to know all hosts"), async || {
                self.fetch_candidate_count(&name).await == Some(expected_count)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the version of the configuration in force at a daemon, or `None` if the
    /// daemon does not answer.
    pub async fn fetch_version(&self, name: &str) -> Option<u64> {
        self.fetch_status(name).await?["version"].as_u64()
    }

    /// Waits until all running daemons have a version of the configuration or a later one.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 20 seconds for a daemon.
    pub async fn wait_for_version(&self, version: u64) -> Result<(), FleetError> {
        for name in self.running_daemon_names() {
            self.wait_for(&format!("version {version} at {name}"), async || {
                self.fetch_version(&name).await >= Some(version)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the number of hosts to which a daemon would send new flows, or `None` if the
    /// daemon does not answer.
    pub async fn fetch_candidate_count(&self, name: &str) -> Option<usize> {
        let count = self.fetch_status(name).await?["candidates"].as_u64()?;
        usize::try_from(count).ok()
    }

    /// Waits until a condition is met, for at most 20 seconds.
    ///
    /// # Errors
    ///
    /// Returns an error with `description` if that takes longer.
    pub async fn wait_for(
        &self,
        description: &str,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), FleetError> {
        const TIMEOUT: Duration = Duration::from_secs(20);
        let deadline = Instant::now() + TIMEOUT;
        while !condition().await {
            if Instant::now() > deadline {
                return Err(FleetError::Timeout(description.to_owned()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether a process was started and has not been killed, nor was its exit
    /// noticed by [`Self::wait_for_exit`].
    pub fn is_running(&self, name: &str) -> bool {
        self.find_process(name)
            .is_ok_and(|process| process.child.is_some())
    }

    /// Returns the names of the running balancers and hosts.
    fn running_daemon_names(&self) -> Vec<String> {
        let mut names = self.balancer_names();
        names.extend(self.host_names());
        names.retain(|name| self.is_running(name));
        names
    }

    fn address(&self, last_octet: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(last_octet), port)
    }

    fn ip(&self, last_octet: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last_octet)
    }

    /// Returns the path of a file in the fleet's directory.
    fn file_path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn service_index(&self, name: &str) -> usize {
        let found = self
            .plan
            .services
            .iter()
            .position(|service| service.name == name);
        found.unwrap_or_else(|| panic!("no service is named {name}"))
    }

    /// Returns the IP address of the instance on which a daemon runs.
    fn instance_ip(&self, name: &str) -> Ipv4Addr {
        const BALANCER_BASE_OCTET: u8 = 20;
        const HOST_BASE_OCTET: u8 = 40;
        const HOSTS_PER_SERVICE: u8 = 20;
        let (kind, number) = name.rsplit_once('-').unwrap_or((name, "0"));
        let number: u8 = number.parse().unwrap_or(0);
        if kind == "balancer" {
            return self.ip(BALANCER_BASE_OCTET + number);
        }
        let service = self.service_index(kind) as u8;
        self.ip(HOST_BASE_OCTET + HOSTS_PER_SERVICE * service + number)
    }

    /// Prints the last lines of each process's log.
    fn print_logs(&self) {
        const LINE_COUNT: usize = 8;
        for process in &self.processes {
            let log = self.read_log(&process.name);
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("---- end of the log of {}", process.name);
            for line in &lines[lines.len().saturating_sub(LINE_COUNT)..] {
                eprintln!("{line}");
            }
        }
    }

    fn find_process(&self, name: &str) -> Result<&FleetProcess, FleetError> {
        self.processes
            .iter()
            .find(|process| process.name == name)
            .ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    fn find_process_mut(&mut self, name: &str) -> Result<&mut FleetProcess, FleetError> {
        self.processes
            .iter_mut()
            .find(|process| process.name == name)
            .ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    /// Writes the certificate, its private key and the shared secret.
    fn write_keys(&self) -> Result<(), FleetError> {
        let names: Vec<String> = self
            .plan
            .services
            .iter()
            .map(|service| service.name.to_owned())
            .collect();
        let certified = rcgen::generate_simple_self_signed(names)?;
        fs::write(self.certificate_path(), certified.cert.pem())?;
        fs::write(
            self.file_path("private-key.pem"),
            certified.signing_key.serialize_pem(),
        )?;
        fs::write(
            self.file_path("secret.hex"),
            "000102030405060708090a0b0c0d0e0f\n",
        )?;
        Ok(())
    }

    fn write_settings(
        &self,
        name: &str,
        instance: Ipv4Addr,
        role: &str,
    ) -> Result<PathBuf, FleetError> {
        let text = format!(
            "inner: {instance}:{INNER_PORT}\nadmin: {instance}:{ADMIN_PORT}\nzone: utr-a\n\
             platform: [\"http://{}\"]\ncontacts: [{}]\nsecret:\n  file: {}\n{role}{}",
            self.platform_address(),
            self.inner_address("balancer-1"),
            self.file_path("secret.hex").display(),
            self.plan.extra_settings
        );
        let path = self.file_path(&format!("{name}.yaml"));
        fs::write(&path, text)?;
        Ok(path)
    }

    fn start_processes(&mut self) -> Result<(), FleetError> {
        let platform = self.platform_address().to_string();
        self.start_process(
            "platform",
            "examples/platform",
            vec!["--listen".to_owned(), platform],
        )?;
        let arguments = self.fabric_arguments();
        self.start_process("fabric", "examples/fabric", arguments)?;
        for name in self.balancer_names() {
            self.start_balancer(&name)?;
        }
        for service in self.plan.services.clone() {
            for number in 1..=service.host_count {
                self.start_host(&service, number)?;
            }
        }
        Ok(())
    }

    fn fabric_arguments(&self) -> Vec<String> {
        let mut arguments = vec!["--tunnel".to_owned(), self.address(1, 9_000).to_string()];
        for service in &self.plan.services {
            arguments.push("--service".to_owned());
            arguments.push(self.service_address(service.name).to_string());
        }
        for name in self.balancer_names() {
            let instance = self.instance_ip(&name);
            arguments.push("--balancer".to_owned());
            arguments.push(format!("{instance}:{ENTRY_PORT},{instance}:{ADMIN_PORT}"));
        }
        arguments.extend(self.plan.fabric_arguments.iter().cloned());
        arguments
    }

    fn start_balancer(&mut self, name: &str) -> Result<(), FleetError> {
        let instance = self.instance_ip(name);
        let role = format!(
            "role:\n  balancer:\n    entry: {instance}:{ENTRY_PORT}\n    fabric: {}\n",
            self.address(1, 9_000)
        );
        let settings = self.write_settings(name, instance, &role)?;
        self.start_process(name, "hyssopstaird", vec![settings.display().to_string()])
    }

    fn start_host(&mut self, service: &ServicePlan, number: u8) -> Result<(), FleetError> {
        let name = format!("{}-{number}", service.name);
        let settings = self.write_host_settings(&name, service.name, &name)?;
        let backend = vec![
            "--listen".to_owned(),
            self.backend_address(&name).to_string(),
            "--service".to_owned(),
            service.name.to_owned(),
            "--slots".to_owned(),
            service.slots.to_string(),
            "--work".to_owned(),
            self.plan.work_millis.to_string(),
        ];
        self.start_process(&format!("{name}-backend"), "examples/backend", backend)?;
        self.start_process(&name, "hyssopstaird", vec![settings.display().to_string()])
    }

    async fn wait_for_platform(&self) -> Result<(), FleetError> {
        let url = format!("http://{}/counts", self.platform_address());
        self.wait_for("the platform to answer", async || {
            fetch_json::<Value>(&url).await.is_some()
        })
        .await
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
        for process in &mut self.processes {
            if let Some(child) = process.child.as_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
