/*!
Fleet of daemon processes on loopback.

Each instance has its own IP address in 127.0.0.0/8, so that a proxy can
identify it by the source address of a connection. The peer address of every
instance is behind a [`Proxy`]. The operating system assigns the ports at the
first start, and restarts keep them.
*/

mod faults;
mod network;

use std::{
    io::{self, BufRead, BufReader},
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use http::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::{
    client::{self, Reply},
    proxy::Proxy,
};

/// Longest wait for a condition, so long that a busy machine does not fail a
/// test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of an instance.
#[derive(Clone, Debug)]
pub struct InstanceOptions {
    /// Name of the availability zone.
    pub zone: String,
    /// Whether the instance serves callers.
    pub entry: bool,
    /// Whether the instance runs a control replica.
    pub control: bool,
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The instances.
    pub instances: Vec<InstanceOptions>,
    /// Log filter of the daemons.
    pub log: String,
    /// Fields merged into the settings of every instance.
    pub settings: Value,
    /// Whether the links between instances buffer few bytes.
    pub narrow_links: bool,
}

impl FleetOptions {
    /// Returns options for entry instances spread over the zones; the first
    /// `control` of them also run control replicas.
    pub fn spread(entries: usize, control: usize, zones: &[&str]) -> Self {
        let instances = (0..entries)
            .map(|i| InstanceOptions {
                zone: zones[i % zones.len()].to_owned(),
                entry: true,
                control: i < control,
            })
            .collect();
        FleetOptions {
            instances,
            log: "info".into(),
            settings: json!({}),
            narrow_links: false,
        }
    }
}

/// Addresses of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for other instances, which is that of the proxy.
    pub peer: SocketAddr,
}

/// An instance of the fleet.
#[derive(Debug)]
pub struct Instance {
    name: String,
    options: InstanceOptions,
    ip: IpAddr,
    addresses: Addresses,
    proxy: Proxy,
    child: Option<Child>,
    log: PathBuf,
}

impl Instance {
    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the source address of connections to other instances.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns the proxy in front of the peer address.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Returns the process id, if the instance runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A running fleet; its processes are killed when it is dropped. If a test
/// fails, the logs of the daemons are kept in `failed-fleets`, beside the
/// folder of the test program.
#[derive(Debug)]
pub struct Fleet {
    folder: TempDir,
    command: Vec<PathBuf>,
    options: FleetOptions,
    instances: Vec<Instance>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::thread::panicking() {
            match self.keep_logs() {
                Ok(folder) => eprintln!("logs kept in {}", folder.display()),
                Err(e) => eprintln!("the logs could not be kept: {e}"),
            }
        }
    }
}

impl Fleet {
    /// Copies the logs of the daemons to a folder that outlives the fleet.
    fn keep_logs(&self) -> io::Result<PathBuf> {
        let program = std::env::current_exe()?;
        let build = program.ancestors().nth(2).unwrap_or(Path::new("."));
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("unnamed").replace("::", "-");
        let folder = build
            .join("failed-fleets")
            .join(format!("{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        for instance in &self.instances {
            let name = format!("{}.log", instance.name);
            std::fs::copy(&instance.log, folder.join(name))?;
        }
        Ok(folder)
    }

    /// Starts a fleet. `command` is the program of the daemon and its first
    /// arguments; `--settings FILE` is appended.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not print its
    /// addresses.
    pub async fn start(
        command: &[&Path],
        options: FleetOptions,
    ) -> io::Result<Fleet> {
        let mut fleet = Fleet {
            folder: TempDir::new()?,
            command: command.iter().map(|p| p.to_path_buf()).collect(),
            options: options.clone(),
            instances: Vec::new(),
        };
        let subnet = network::Subnet::allocate();
        for (i, instance) in options.instances.into_iter().enumerate() {
            let any = ([127, 0, 0, 1], 0).into();
            let proxy = if options.narrow_links {
                Proxy::start_narrow(any, None)?
            } else {
                Proxy::start(any, None).await?
            };
            let ip = subnet.host(i as u8 + 1);
            let any_port = SocketAddr::new(ip, 0);
            let peer = proxy.address();
            let addresses =
                Addresses { caller: any_port, operator: any_port, peer };
            let name = format!("instance-{}", i + 1);
            let log = fleet.folder.path().join(format!("{name}.log"));
            fleet.instances.push(Instance {
                name,
                options: instance,
                ip,
                addresses,
                proxy,
                child: None,
                log,
            });
            fleet.restart(i)?;
        }
        Ok(fleet)
    }

    /// Returns the instances, in the order of the options.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Returns the folder with the settings, logs and data folders.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the data folder of an instance.
    pub fn data_folder(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("{}.data", self.instances[i].name))
    }

    /// Starts an instance that does not run.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or does not print its
    /// addresses.
    pub fn restart(&mut self, i: usize) -> io::Result<()> {
        let settings = self.write_settings(i)?;
        let instance = &mut self.instances[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&instance.log)?;
        let mut command = Command::new(&self.command[0]);
        let mut child = command
            .args(&self.command[1..])
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        let announced = read.ok().and_then(|_| parse_addresses(&line));
        let Some([caller, operator, peer]) = announced else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(io::Error::other(format!(
                "{} did not start: {}",
                instance.name,
                instance.log()
            )));
        };
        instance.addresses.caller = caller;
        instance.addresses.operator = operator;
        instance.proxy.update(|f| f.server = Some(peer));
        instance.child = Some(child);
        Ok(())
    }

    fn write_settings(&self, i: usize) -> io::Result<PathBuf> {
        let instance = &self.instances[i];
        let peer = instance
            .proxy
            .server()
            .unwrap_or_else(|| SocketAddr::new(instance.ip, 0));
        let peers: Vec<String> = self
            .instances
            .iter()
            .map(|other| other.addresses.peer.to_string())
            .collect();
        let mut roles = Vec::new();
        if instance.options.entry {
            roles.push("entry");
        }
        if instance.options.control {
            roles.push("control");
        }
        let mut settings = json!({
            "name": instance.name,
            "availability_zone": instance.options.zone,
            "roles": roles,
            "listen": {
                "caller": instance.addresses.caller,
                "operator": instance.addresses.operator,
                "peer": peer,
            },
            "advertise_peer": instance.addresses.peer,
            "peers": peers,
            "log": self.options.log,
        });
        if instance.options.control {
            settings["data_folder"] = json!(self.data_folder(i));
        }
        if let (Some(fields), Some(overrides)) =
            (settings.as_object_mut(), self.options.settings.as_object())
        {
            fields.extend(overrides.clone());
        }
        let path = self.folder.path().join(format!("{}.jsonc", instance.name));
        std::fs::write(&path, settings.to_string())?;
        Ok(path)
    }

    /// Bootstraps the control group on the first control instance, waits until
    /// all control instances vote, and applies the first configuration.
    ///
    /// # Errors
    ///
    /// Fails if a step is refused or takes too long.
    pub async fn bootstrap(&self, configuration: &Value) -> io::Result<()> {
        let first = self
            .instances
            .iter()
            .position(|i| i.options.control)
            .ok_or_else(|| io::Error::other("no control instance"))?;
        let operator = self.instances[first].addresses.operator;
        let req = json!({"action": "bootstrap"});
        let reply = client::post(operator, "/v1/replicas", &req).await?;
        expect_status(&reply, 200)?;
        let control =
            self.instances.iter().filter(|i| i.options.control).count();
        wait_for("all control instances vote", || async {
            let status = self.status(first).await.ok()?;
            let members = status["control"]["members"].as_array()?;
            let voters = members.iter().filter(|m| m["voter"] == true);
            (voters.count() == control).then_some(())
        })
        .await?;
        // The leader refuses changes until a majority of the fleet has
        // reported to it. A change that is sent again under the same id gets
        // the outcome of the first send.
        wait_for("the first configuration is accepted", || async {
            let id = "first-configuration";
            let reply =
                self.submit_change(first, id, 0, configuration).await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await?;
        self.wait_version(1).await
    }

    /// Sends a configuration change to an instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached.
    pub async fn submit_change(
        &self,
        i: usize,
        id: &str,
        expected_version: u64,
        configuration: &Value,
    ) -> io::Result<Reply> {
        let req = json!({
            "change_id": id,
            "expected_version": expected_version,
            "configuration": configuration,
        });
        let operator = self.instances[i].addresses.operator;
        client::post(operator, "/v1/changes", &req).await
    }

    /// Reads the status of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached.
    pub async fn status(&self, i: usize) -> io::Result<Value> {
        let operator = self.instances[i].addresses.operator;
        let reply = client::get(operator, "/v1/status").await?;
        expect_status(&reply, 200)?;
        Ok(reply.body)
    }

    /// Waits until every running instance is ready and has this or a later
    /// version in force.
    ///
    /// # Errors
    ///
    /// Fails if it takes too long.
    pub async fn wait_version(&self, version: u64) -> io::Result<()> {
        for (i, instance) in self.instances.iter().enumerate() {
            if instance.child.is_none() {
                continue;
            }
            let description =
                format!("{} has version {version}", instance.name);
            wait_for(&description, || async {
                let status = self.status(i).await.ok()?;
                let ready = status["ready"] == true;
                let current = status["version"].as_u64()? >= version;
                (current && ready).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Sends a query to an instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached or the connection breaks.
    pub async fn query(
        &self,
        i: usize,
        route: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> io::Result<Reply> {
        let path = format!("/v1/routes/{route}/query");
        let caller = self.instances[i].addresses.caller;
        client::request(caller, Method::POST, &path, headers, body.to_string())
            .await
    }
}

/// Polls `condition` until it returns a value.
///
/// # Errors
///
/// Fails if it takes too long.
pub async fn wait_for<T, F, C>(
    description: &str,
    condition: C,
) -> io::Result<T>
where
    C: Fn() -> F,
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if start.elapsed() > WAIT_TIMEOUT {
            return Err(io::Error::other(format!("timeout: {description}")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn expect_status(reply: &Reply, status: u16) -> io::Result<()> {
    if reply.status == status {
        return Ok(());
    }
    Err(io::Error::other(format!("{}: {}", reply.status, reply.body)))
}

/// Parses `listening caller=A operator=B peer=C`.
fn parse_addresses(line: &str) -> Option<[SocketAddr; 3]> {
    let mut words = line.split_whitespace();
    if words.next() != Some("listening") {
        return None;
    }
    let mut next_address = |name: &str| {
        let value = words.next()?.strip_prefix(name)?;
        value.strip_prefix('=')?.parse().ok()
    };
    Some([
        next_address("caller")?,
        next_address("operator")?,
        next_address("peer")?,
    ])
}
