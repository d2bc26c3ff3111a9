//! A small fleet of real processes for tests: stand-ins, balancers and hosts,
//! on loopback addresses of its own.
//!
//! Processes are named `platform`, `fabric`, `balancer-1`, `SERVICE-1` and
//! `SERVICE-1-backend`, and can be killed, frozen and started again by name.
//! All are killed when the fleet is dropped. The programs must have been built.

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
use crate::fleet::process::fetch;
use crate::fleet::process::program;
use crate::fleet::process::spawn;
use crate::fleet::process::take_network;

pub use crate::fleet::error::FleetError;
pub use crate::fleet::plan::FleetPlan;
pub use crate::fleet::plan::ServicePlan;

/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Port for other processes of the system.
const INNER_PORT: u16 = 7_000;
/// Port for operators.
const ADMIN_PORT: u16 = 7_100;
/// Port for packets of the fabric.
const ENTRY_PORT: u16 = 7_200;
/// Port of backend servers.
const BACKEND_PORT: u16 = 8_000;
/// Port of services.
const SERVICE_PORT: u16 = 4_433;
#[derive(Debug)]
struct FleetProcess {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    child: Option<Child>,
}

/// A fleet at work.
#[derive(Debug)]
pub struct TestFleet {
    plan: FleetPlan,
    network: [u8; 2],
    directory: TempDir,
    processes: Vec<FleetProcess>,
    /// The version that was applied last.
    applied: Cell<u64>,
    /// Shows other tests that the network is taken.
    _guard: TcpListener,
}

impl TestFleet {
    /// Starts a fleet, puts its rules in force, and waits until every balancer
    /// knows every host.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not come up.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let (network, guard) = take_network()?;
        let mut fleet = Self {
            plan,
            network,
            directory: TempDir::new()?,
            processes: Vec::new(),
            applied: Cell::new(0),
            _guard: guard,
        };
        fleet.write_keys()?;
        fleet.start_processes()?;
        match fleet.settle().await {
            Ok(()) => Ok(fleet),
            Err(error) => {
                fleet.print_logs();
                Err(error)
            }
        }
    }

    async fn settle(&self) -> Result<(), FleetError> {
        self.wait_for_platform().await?;
        let rules = self.initial_rules();
        self.apply_rules(&rules).await?;
        self.wait_until_hosts_known().await
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> SocketAddrV4 {
        self.address(2, 2_379)
    }

    /// Returns the certificate that callers trust.
    pub fn certificate_path(&self) -> PathBuf {
        self.path("certificate.pem")
    }

    /// Returns the address that callers of a service send to.
    pub fn service_address(&self, name: &str) -> SocketAddrV4 {
        let index = self.service_index(name) as u8;
        self.address(10 + index, SERVICE_PORT)
    }

    /// Returns the admin address of a daemon.
    pub fn admin_address(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance(name), ADMIN_PORT)
    }

    /// Returns the inner address of a daemon.
    pub fn inner_address(&self, name: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance(name), INNER_PORT)
    }

    /// Returns the address of the backend server beside a host.
    pub fn backend_address(&self, host: &str) -> SocketAddrV4 {
        SocketAddrV4::new(self.instance(host), BACKEND_PORT)
    }

    /// Returns the names of all balancers.
    pub fn balancer_names(&self) -> Vec<String> {
        (1..=self.plan.balancer_count)
            .map(|number| format!("balancer-{number}"))
            .collect()
    }

    /// Returns the names of all hosts.
    pub fn host_names(&self) -> Vec<String> {
        let services = self.plan.services.iter();
        services
            .flat_map(|service| {
                (1..=service.host_count).map(|number| format!("{}-{number}", service.name))
            })
            .collect()
    }

    /// Returns the rule file that a fleet starts with.
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

    /// Puts a rule file in force on all daemons that run, by the operators'
    /// command.
    ///
    /// # Errors
    ///
    /// Returns an error with what the command printed when it fails.
    pub async fn apply_rules(&self, rules: &str) -> Result<(), FleetError> {
        self.apply_rules_confirmed_by(rules, &self.daemons()).await
    }

    /// Puts a rule file in force and waits for the named daemons.
    ///
    /// # Errors
    ///
    /// Returns an error with what the command printed when it fails.
    pub async fn apply_rules_confirmed_by(
        &self,
        rules: &str,
        daemons: &[String],
    ) -> Result<(), FleetError> {
        let path = self.path("rules.txt");
        fs::write(&path, rules)?;
        let mut arguments = vec![
            "apply".to_owned(),
            "--platform".to_owned(),
            format!("http://{}", self.platform_address()),
        ];
        let applied = self.applied.get();
        if applied > 0 {
            arguments.push("--base".to_owned());
            arguments.push(applied.to_string());
        }
        for name in daemons {
            arguments.push("--confirm".to_owned());
            arguments.push(self.admin_address(name).to_string());
        }
        arguments.push(path.display().to_string());
        self.run_operator_command(&arguments).await?;
        self.applied.set(applied + 1);
        Ok(())
    }

    /// Runs the operators' command and returns what it printed.
    ///
    /// # Errors
    ///
    /// Returns an error with what the command printed when it fails.
    pub async fn run_operator_command(&self, arguments: &[String]) -> Result<String, FleetError> {
        Self::run_command(arguments.to_vec()).await
    }

    /// Runs the operators' command without a fleet at hand, as a task may.
    ///
    /// # Errors
    ///
    /// Returns an error with what the command printed when it fails.
    pub async fn run_command(arguments: Vec<String>) -> Result<String, FleetError> {
        let mut command = Command::new(program("hyssopstair"));
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

    /// Asks a daemon for its status; nothing when it does not answer.
    pub async fn fetch_status(&self, name: &str) -> Option<Value> {
        let url = format!("http://{}/status", self.admin_address(name));
        fetch(&url).await
    }

    /// Asks the backend server beside a host what it has seen; nothing when it
    /// does not answer.
    pub async fn fetch_backend_report(&self, host: &str) -> Option<BackendReport> {
        let url = format!("http://{}/report", self.backend_address(host));
        fetch(&url).await
    }

    /// Sends JSON to a stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the stand-in does not take it.
    pub async fn post_json(
        &self,
        address: SocketAddrV4,
        path: &str,
        body: &Value,
    ) -> Result<(), FleetError> {
        let answer = reqwest::Client::new()
            .post(format!("http://{address}{path}"))
            .json(body)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        match answer {
            Ok(_) => Ok(()),
            Err(error) => Err(FleetError::Command(error.to_string())),
        }
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such process.
    pub fn send_signal(&self, name: &str, signal: Signal) -> Result<(), FleetError> {
        let process = self.find(name)?;
        let child = process
            .child
            .as_ref()
            .ok_or_else(|| FleetError::UnknownName(name.to_owned()))?;
        nix::sys::signal::kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Kills a process at once and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such process.
    pub fn kill(&mut self, name: &str) -> Result<(), FleetError> {
        let process = self.find_mut(name)?;
        if let Some(mut child) = process.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Waits until a process that was told to stop has ended, and returns
    /// whether it ended with success.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not end in time.
    pub async fn wait_for_exit(&mut self, name: &str, limit: Duration) -> Result<bool, FleetError> {
        let end = Instant::now() + limit;
        loop {
            let process = self.find_mut(name)?;
            let Some(child) = process.child.as_mut() else {
                return Ok(true);
            };
            if let Some(status) = child.try_wait()? {
                process.child = None;
                return Ok(status.success());
            }
            if Instant::now() > end {
                return Err(FleetError::Timeout(format!("the end of {name}")));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Starts a process again that was killed or has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<(), FleetError> {
        let log = self.path(&format!("{name}.log"));
        let process = self.find_mut(name)?;
        process.child = Some(spawn(&process.program, &process.arguments, &log)?);
        Ok(())
    }

    /// Starts another process of the fleet's network, under a new name.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be started.
    pub fn start_process(
        &mut self,
        name: &str,
        program_name: &str,
        arguments: Vec<String>,
    ) -> Result<(), FleetError> {
        let program = program(program_name);
        let log = self.path(&format!("{name}.log"));
        let child = Some(spawn(&program, &arguments, &log)?);
        self.processes.push(FleetProcess {
            name: name.to_owned(),
            program,
            arguments,
            child,
        });
        Ok(())
    }

    /// Writes the settings of a host and returns their path. The host runs on
    /// the instance of `place`, which may be another host's.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write_host_settings(
        &self,
        name: &str,
        service: &str,
        place: &str,
    ) -> Result<PathBuf, FleetError> {
        let instance = self.instance(place);
        let role = format!(
            "role:\n  host:\n    service: {service}\n    backend: {instance}:{BACKEND_PORT}\n    \
             certificate: {}\n    private_key: {}\n",
            self.certificate_path().display(),
            self.path("private-key.pem").display()
        );
        self.write_settings(name, instance, &role)
    }

    /// Returns the log of a process so far.
    pub fn read_log(&self, name: &str) -> String {
        fs::read_to_string(self.path(&format!("{name}.log"))).unwrap_or_default()
    }

    /// Waits until every daemon that runs knows every host that runs.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_until_hosts_known(&self) -> Result<(), FleetError> {
        let expected = self
            .host_names()
            .iter()
            .filter(|name| self.is_running(name))
            .count();
        for name in self.daemons() {
            self.wait_for(&format!("{name} knowing all hosts"), async || {
                self.fetch_candidate_count(&name).await == Some(expected)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the version of the configuration in force at a daemon.
    pub async fn fetch_version(&self, name: &str) -> Option<u64> {
        self.fetch_status(name).await?["version"].as_u64()
    }

    /// Waits until all daemons that run have a version or a higher one.
    ///
    /// # Errors
    ///
    /// Returns an error when that takes too long.
    pub async fn wait_for_version(&self, version: u64) -> Result<(), FleetError> {
        for name in self.daemons() {
            self.wait_for(&format!("version {version} at {name}"), async || {
                self.fetch_version(&name).await >= Some(version)
            })
            .await?;
        }
        Ok(())
    }

    /// Returns the number of hosts that a daemon would send new flows to.
    pub async fn fetch_candidate_count(&self, name: &str) -> Option<usize> {
        let count = self.fetch_status(name).await?["candidates"].as_u64()?;
        usize::try_from(count).ok()
    }

    /// Waits until a condition is true, for at most 20 seconds.
    ///
    /// # Errors
    ///
    /// Returns an error that names the condition when it takes longer.
    pub async fn wait_for(
        &self,
        name: &str,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Result<(), FleetError> {
        const LIMIT: Duration = Duration::from_secs(20);
        let end = Instant::now() + LIMIT;
        while !condition().await {
            if Instant::now() > end {
                return Err(FleetError::Timeout(name.to_owned()));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether a process runs.
    pub fn is_running(&self, name: &str) -> bool {
        self.find(name).is_ok_and(|process| process.child.is_some())
    }

    fn daemons(&self) -> Vec<String> {
        let mut names = self.balancer_names();
        names.extend(self.host_names());
        names.retain(|name| self.is_running(name));
        names
    }

    fn address(&self, last: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(last), port)
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }

    fn path(&self, name: &str) -> PathBuf {
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

    /// Returns the instance that a daemon runs on.
    fn instance(&self, name: &str) -> Ipv4Addr {
        const FIRST_BALANCER: u8 = 20;
        const FIRST_HOST: u8 = 40;
        const HOSTS_PER_SERVICE: u8 = 20;
        let (kind, number) = name.rsplit_once('-').unwrap_or((name, "0"));
        let number: u8 = number.parse().unwrap_or(0);
        if kind == "balancer" {
            return self.ip(FIRST_BALANCER + number);
        }
        let service = self.service_index(kind) as u8;
        self.ip(FIRST_HOST + HOSTS_PER_SERVICE * service + number)
    }

    /// Prints the end of each process's log, for a test that fails.
    fn print_logs(&self) {
        const LINES: usize = 8;
        for process in &self.processes {
            let log = self.read_log(&process.name);
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("---- end of the log of {}", process.name);
            for line in &lines[lines.len().saturating_sub(LINES)..] {
                eprintln!("{line}");
            }
        }
    }

    fn find(&self, name: &str) -> Result<&FleetProcess, FleetError> {
        self.processes
            .iter()
            .find(|process| process.name == name)
            .ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

    fn find_mut(&mut self, name: &str) -> Result<&mut FleetProcess, FleetError> {
        self.processes
            .iter_mut()
            .find(|process| process.name == name)
            .ok_or_else(|| FleetError::UnknownName(name.to_owned()))
    }

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
            self.path("private-key.pem"),
            certified.signing_key.serialize_pem(),
        )?;
        fs::write(
            self.path("secret.hex"),
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
            self.path("secret.hex").display(),
            self.plan.extra_settings
        );
        let path = self.path(&format!("{name}.yaml"));
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
            let instance = self.instance(&name);
            arguments.push("--balancer".to_owned());
            arguments.push(format!("{instance}:{ENTRY_PORT},{instance}:{ADMIN_PORT}"));
        }
        arguments.extend(self.plan.fabric_arguments.iter().cloned());
        arguments
    }

    fn start_balancer(&mut self, name: &str) -> Result<(), FleetError> {
        let instance = self.instance(name);
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
        self.wait_for("the platform answering", async || {
            fetch::<Value>(&url).await.is_some()
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
