//! A small deployment on loopback addresses: machines, the platform's list,
//! searchers, clients and an operator.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write as _,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message, call, response};

pub const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

const FRONT_PORT: u16 = 8104;
const CONTROL_PORT: u16 = 8106;
const READINESS_PORT: u16 = 8108;
const METRICS_PORT: u16 = 9464;
const PEER_PORT: u16 = 7380;

/// Entries on a page of the list.
const PAGE: usize = 50;

/// What is written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Mutex::new(file), start: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.now());
        let mut file = self.file.lock().expect("the record");
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.write(text);
    }
}

/// A request that a searcher has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub searcher: String,
    pub service: String,
    pub path: String,
    pub stamp: String,
    pub at: Instant,
}

/// What a searcher does with a request.
pub enum Reply {
    /// It runs the request for this time and answers.
    Run(Duration),
    /// It runs the request, and these bytes are its answer. The
    /// connection stays open.
    Bytes(Duration, Vec<u8>),
}

type Behaviour = dyn Fn(&Message, &str) -> Reply + Send + Sync;

/// A searcher with its own address.
#[derive(Clone)]
pub struct Searcher {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Whether it has ended.
    ended: Arc<AtomicU64>,
}

impl Searcher {
    /// Lets it end: it closes its listener and its connections.
    pub fn end(&self) {
        self.ended.store(1, Ordering::SeqCst);
        // Its listener notices on the next connection.
        let _ = std::net::TcpStream::connect(self.address);
    }

    /// Returns its entry in the platform's list.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"Id\":\"{}\",\"Service\":\"{}\",\"Address\":\"{}\",\
             \"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":4,\
             \"State\":\"{state}\",\"WarmupLeftMs\":0}}",
            self.id, self.service, self.address, self.zone
        )
    }
}

/// A machine with its process.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    disk: bool,
    child: Option<Child>,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    pub fn control(&self) -> SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    fn readiness(&self) -> SocketAddr {
        (self.ip, READINESS_PORT).into()
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        call(self.readiness(), "GET", "/api/ready", &[], b"", wait)
            .is_ok_and(|r| r.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The deployment.
pub struct Site {
    pub record: Arc<Record>,
    pub machines: Vec<Machine>,
    /// The entries of the platform's list, as bytes of JSON.
    pub list: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Calls to the list that were answered.
    pub list_calls: Arc<AtomicU64>,
    /// Whether the server of the list closes the connection after a response.
    pub list_closes: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    net: [u8; 2],
    next_ip: u8,
    list_address: SocketAddr,
    folder: PathBuf,
    stamps: Arc<AtomicU64>,
    requests: AtomicU64,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A number that differs between runs.
fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

impl Site {
    /// Starts one machine with a disk and one without in each zone.
    pub fn start(record: Arc<Record>) -> Site {
        let (net, listener) = loop {
            let r = random();
            let net = [20 + (r % 200) as u8, 1 + ((r >> 16) % 250) as u8];
            let ip = |last| Ipv4Addr::new(127, net[0], net[1], last);
            let free = (1..=8).all(|last| {
                [FRONT_PORT, CONTROL_PORT, READINESS_PORT, METRICS_PORT, PEER_PORT]
                    .iter()
                    .all(|&port| TcpListener::bind((ip(last), port)).is_ok())
            });
            if let (true, Ok(listener)) =
                (free, TcpListener::bind((ip(250), 0)))
            {
                break (net, listener);
            }
        };
        let folder = std::env::temp_dir().join(format!("review-2-{:016x}", random()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let list_address = listener.local_addr().expect("an address");
        let list: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
        let list_calls = Arc::<AtomicU64>::default();
        let list_closes = Arc::<AtomicBool>::default();
        serve_list(
            listener,
            list.clone(),
            list_calls.clone(),
            list_closes.clone(),
        );
        let mut site = Site {
            record,
            machines: Vec::new(),
            list,
            list_calls,
            list_closes,
            runs: Arc::default(),
            net,
            next_ip: 100,
            list_address,
            folder,
            stamps: Arc::new(AtomicU64::new(1)),
            requests: AtomicU64::new(1),
        };
        for (i, zone) in ZONES.into_iter().chain(ZONES).enumerate() {
            site.machines.push(Machine {
                name: format!("front-{zone}-{}", 1 + i / ZONES.len()),
                zone,
                ip: Ipv4Addr::new(127, net[0], net[1], 1 + i as u8),
                disk: i < ZONES.len(),
                child: None,
            });
        }
        for i in 0..site.machines.len() {
            site.start_machine(i, true);
        }
        site
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_machine(&mut self, i: usize, bootstrap: bool) {
        let settings = self.settings(&self.machines[i], bootstrap);
        let name = self.machines[i].name.clone();
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log file");
        let child = Command::new("target/release/primrosemast-platform")
            .env_clear()
            .envs(std::env::vars().filter(|v| v.0 == "PATH" || v.0 == "HOME"))
            .env("PRIMROSEMAST_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.machines[i].child = Some(child),
            Err(e) => crate::cannot_run(&format!("no process starts: {e}")),
        }
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let Machine { name, zone, ip, disk, .. } = machine;
        let seeds: Vec<String> = self.machines[..3]
            .iter()
            .map(|m| format!("\"{}\"", m.control()))
            .collect();
        let seeds = seeds.join(",");
        let data = match disk {
            true => format!("DataDir = {:?}\n", self.folder.join(format!("data-{name}"))),
            false => String::new(),
        };
        let zones: String =
            ZONES.iter().map(|z| format!("{z} = \"region\"\n")).collect();
        let disk_mb = if *disk { "DiskMb = 64\n" } else { "" };
        let cpu = if *disk { 0.45 } else { 0.25 };
        format!(
            "Node = \"{name}\"\nRole = \"entry\"\nMachineClass = \"front\"\n\
             Serves = [\"front\",\"control\"]\nIp = \"{ip}\"\n\
             Zone = \"{zone}\"\nRegion = \"region\"\n\
             InternalPorts = [{PEER_PORT},{}]\nSeeds = [{seeds}]\n\
             Bootstrap = {bootstrap}\nCountsAsLoss = {disk}\n{data}\
             Discovery = \"cloud_api\"\nEntry = \"vip\"\n\
             HeartbeatMs = 1200\nContracts = [\"base\",\"drain\",\"config\",\
             \"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\n\
             config_mode = \"highest\"\n[Zones]\n{zones}[Listen]\n\
             Front = \"{ip}:{FRONT_PORT}\"\n\
             Readiness = \"{ip}:{READINESS_PORT}\"\n\
             Control = \"{ip}:{CONTROL_PORT}\"\n[Limits]\n\
             CpuShare = {cpu}\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\n\
             LinkMbps = 1000.0\n{disk_mb}[FaultTolerance]\nMachines = 1\n\
             Zones = 1\nRegions = 0\n[Bounds]\nSeedLagS = 3\n\
             AddrReuseS = 2\nContactMs = 4000\nAckMs = 5000\nCatchUpS = 4\n\
             DrainMs = 3000\nGraceS = 6\nLossSlackMs = 200\n\
             ConfigApplyMs = 3000\nRollbackSlackMs = 250\n\
             MaxSkewMs = 12000\nRetryBudgetRatio = 0.2\n\
             BudgetWindowS = 10\nRetryBudgetSlack = 58\n\
             WarmupFactor = 1.5\nWarmupSlack = 5\nEvacuationMs = 5000\n\
             RecoveryS = 12\n[CloudApi]\nAddress = \"{}\"\n\
             RatePerS = 46.0\nDuties = []\nMaxLagMs = 800\n",
            PEER_PORT + 15,
            self.list_address,
        )
    }

    /// Starts a searcher that behaves as told. It is not listed yet.
    pub fn searcher(
        &mut self,
        id: &str,
        service: &str,
        zone: &str,
        behaviour: impl Fn(&Message, &str) -> Reply + Send + Sync + 'static,
    ) -> Searcher {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], self.next_ip);
        self.next_ip += 1;
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let searcher = Searcher {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            ended: Arc::default(),
        };
        let this = searcher.clone();
        let behaviour: Arc<Behaviour> = Arc::new(behaviour);
        let (runs, stamps) = (self.runs.clone(), self.stamps.clone());
        let record = self.record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.ended.load(Ordering::SeqCst) != 0 {
                    return;
                }
                let (this, behaviour) = (this.clone(), behaviour.clone());
                let (runs, stamps) = (runs.clone(), stamps.clone());
                let record = record.clone();
                thread::spawn(move || {
                    let connection = Connection::new(stream);
                    serve_searcher(
                        &this, connection, &*behaviour, &runs, &stamps, &record,
                    );
                });
            }
        });
        searcher
    }

    /// Replaces the list.
    pub fn set_list(&self, entries: Vec<Vec<u8>>) {
        *self.list.lock().expect("the list") = entries;
    }

    /// Sends a configuration as an operator does, until it is acknowledged.
    /// Returns false if it is refused.
    pub fn configure(&self, configuration: &str) -> bool {
        let start = Instant::now();
        loop {
            for machine in &self.machines {
                let sent = call(
                    machine.control(),
                    "PUT",
                    "/api/config",
                    &[("Content-Type", "application/json")],
                    configuration.as_bytes(),
                    Duration::from_secs(1),
                );
                let Ok(answer) = sent else { continue };
                self.record.write(&format!(
                    "operator: PUT /api/config to {} -> {}",
                    machine.name,
                    answer.status()
                ));
                match answer.status() {
                    200 => return true,
                    400..=499 => return false,
                    _ => {}
                }
            }
            if start.elapsed() > Duration::from_secs(40) {
                crate::cannot_run("no configuration is acknowledged");
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until every machine is ready.
    pub fn wait_ready(&self) {
        let start = Instant::now();
        while !self.machines.iter().all(Machine::is_ready) {
            if start.elapsed() > Duration::from_secs(40) {
                crate::cannot_run("the machines are not ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.write("all machines are ready");
    }

    /// Returns an id for a client's request.
    pub fn request_id(&self) -> String {
        let n = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{n:08x}", random() as u32)
    }

    /// Returns the runs by the id of their request.
    pub fn runs_by_request(&self) -> BTreeMap<String, Vec<Run>> {
        let mut by_request: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for run in self.runs.lock().expect("the runs").iter() {
            by_request.entry(run.request.clone()).or_default().push(run.clone());
        }
        by_request
    }
}

fn serve_list(
    listener: TcpListener,
    list: Arc<Mutex<Vec<Vec<u8>>>>,
    calls: Arc<AtomicU64>,
    closes: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, calls) = (list.clone(), calls.clone());
            let closes = closes.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(request)) = connection.read(None) {
                    calls.fetch_add(1, Ordering::Relaxed);
                    let page = page(&list.lock().expect("the list"), request.path());
                    let closes = closes.load(Ordering::SeqCst);
                    let end = if closes { "close" } else { "keep-alive" };
                    let headers = [
                        ("Content-Type", "application/json"),
                        ("Connection", end),
                    ];
                    let answer = response("200 OK", &headers, page);
                    if connection.write(&answer).is_err() || closes {
                        return;
                    }
                }
            });
        }
    });
}

/// Returns the page of the list that a call asks for.
fn page(entries: &[Vec<u8>], path: &str) -> Vec<u8> {
    let query = path.split_once('?').map_or("", |p| p.1);
    let parameter = |name: &str| {
        query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    };
    let from = parameter("PageToken").and_then(|t| t.strip_prefix("p-"));
    let from: usize = from.map_or(0, |t| t.parse().unwrap_or(0));
    let to = (from + PAGE).min(entries.len());
    let next = match to < entries.len() {
        true => format!("\"p-{to}\""),
        false => "null".to_owned(),
    };
    let mut page = b"{\"Instances\":[".to_vec();
    page.extend(entries[from.min(to)..to].join(&b','));
    page.extend(format!("],\"NextToken\":{next}}}").bytes());
    page
}

fn serve_searcher(
    this: &Searcher,
    mut connection: Connection,
    behaviour: &Behaviour,
    runs: &Mutex<Vec<Run>>,
    stamps: &AtomicU64,
    record: &Record,
) {
    loop {
        let Ok(Some(request)) = connection.read(None) else { return };
        if this.ended.load(Ordering::SeqCst) != 0 {
            return;
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|e| e != this.id) {
            let headers = [("X-Request-Id", &*id), ("X-Not-Executed", "1")];
            let answer = response("421 Misdirected Request", &headers, "");
            if connection.write(&answer).is_err() {
                return;
            }
            continue;
        }
        let stamp = stamps.fetch_add(1, Ordering::Relaxed);
        let stamp = format!("{stamp:x}.{}", this.id);
        let reply = behaviour(&request, &stamp);
        let (work, bytes) = match reply {
            Reply::Run(work) => (work, None),
            Reply::Bytes(work, bytes) => (work, Some(bytes)),
        };
        runs.lock().expect("the runs").push(Run {
            request: id.clone(),
            searcher: this.id.clone(),
            service: this.service.clone(),
            path: request.path().to_owned(),
            stamp: stamp.clone(),
            at: Instant::now(),
        });
        record.write(&format!(
            "searcher {} ({}) runs {id}: {} {}",
            this.id,
            this.service,
            request.method(),
            request.path()
        ));
        thread::sleep(work);
        if this.ended.load(Ordering::SeqCst) != 0 {
            return;
        }
        let sent = match bytes {
            Some(bytes) => connection.stream.write_all(&bytes),
            None => {
                let headers =
                    [("X-Request-Id", &*id), ("X-Response-Stamp", &*stamp)];
                // A record of 16 bytes that names the service.
                let body = format!("{:>16}", this.service);
                connection.write(&response("200 OK", &headers, body))
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
