//! The project's own processes, started with the command of the deploy file.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    searcher::Platform,
    world::{Net, Random, Record},
};

pub const FRONT: u16 = 8104;
pub const CONTROL: u16 = 8106;
pub const READINESS: u16 = 8108;
pub const PEER: u16 = 7380;

pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// One machine with its process.
pub struct Machine {
    pub number: u8,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub disk: bool,
    pub proxied: bool,
    child: Option<Child>,
}

impl Machine {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes plain numbers; the process is a child that
            // has not been waited for, so its identifier is not in use again.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn end(&mut self) {
        self.signal(CONT);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end();
    }
}

/// All machines of a small deployment.
pub struct Fleet {
    pub net: Net,
    pub machines: Vec<Machine>,
    folder: PathBuf,
    list: SocketAddr,
    record: Record,
    /// Whether links between machines lose packets.
    pub lossy: Arc<AtomicBool>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts machines; each is given as its zone and whether it has a disk.
    pub fn start(
        platform: &Platform,
        layout: &[(&'static str, bool)],
        proxied: bool,
    ) -> Fleet {
        let net = platform.net;
        let folder = std::env::temp_dir().join(format!(
            "review-3-{}-{}-{}",
            std::process::id(),
            net.0,
            net.1
        ));
        fs::create_dir_all(&folder).expect("a folder");
        let mut fleet = Fleet {
            net,
            machines: Vec::new(),
            folder,
            list: platform.list,
            record: platform.record.clone(),
            lossy: Arc::default(),
        };
        for (i, (zone, disk)) in layout.iter().enumerate() {
            let number = i as u8 + 1;
            fleet.machines.push(Machine {
                number,
                ip: net.ip(number),
                zone,
                disk: *disk,
                proxied,
                child: None,
            });
            if proxied {
                fleet.start_proxy(number, layout);
            }
        }
        for i in 0..fleet.machines.len() {
            fleet.run(i, true);
        }
        fleet
    }

    /// Writes the settings of a machine and starts its process.
    pub fn run(&mut self, index: usize, bootstrap: bool) {
        let seed = |n: u8| self.net.ip(if self.machines[index].proxied { 100 + n } else { n });
        let seeds: Vec<String> =
            (1..=3).map(|n| format!("\"{}:{CONTROL}\"", seed(n))).collect();
        let m = &self.machines[index];
        let (ip, number, zone) = (m.ip, m.number, m.zone);
        let advertised = if m.proxied {
            format!("AdvertisePeer = \"{}:{PEER}\"\n", self.net.ip(100 + number))
        } else {
            String::new()
        };
        let data = if m.disk {
            let path = self.folder.join(format!("data-{number}"));
            fs::create_dir_all(&path).expect("a data folder");
            format!("DataDir = \"{}\"\n", path.display())
        } else {
            String::new()
        };
        let disk = if m.disk { "DiskMb = 64\n" } else { "" };
        let share = if m.disk { 0.45 } else { 0.25 };
        let text = format!(
            "Node = \"front-{number}\"\nRole = \"entry\"\n\
             MachineClass = \"front\"\nServes = [\"front\",\"control\"]\n\
             Ip = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"amhara-high\"\n\
             InternalPorts = [{PEER},7395]\nSeeds = [{}]\n\
             Bootstrap = {bootstrap}\nCountsAsLoss = {}\n{data}{advertised}\
             Discovery = \"cloud_api\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
             \"recover\",\"scatter\",\"places\"]\nconfig_mode = \"highest\"\n\
             [Zones]\nsimien-a = \"amhara-high\"\ngondar-b = \"amhara-high\"\n\
             bahir-c = \"amhara-high\"\ndebark-d = \"amhara-high\"\n\
             [Listen]\nFront = \"{ip}:{FRONT}\"\n\
             Readiness = \"{ip}:{READINESS}\"\nControl = \"{ip}:{CONTROL}\"\n\
             [Limits]\nCpuShare = {share}\nCores = 1\nMemoryMb = 260\n\
             MaxFds = 4100\nLinkMbps = 1000.0\n{disk}\
             [FaultTolerance]\nMachines = 1\nZones = 1\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 4000\n\
             AckMs = 5000\nCatchUpS = 4\nDrainMs = 3000\nGraceS = 6\n\
             LossSlackMs = 200\nConfigApplyMs = 3000\nRollbackSlackMs = 250\n\
             MaxSkewMs = 12000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n\
             RetryBudgetSlack = 58\nWarmupFactor = 1.5\nWarmupSlack = 5\n\
             EvacuationMs = 5000\nRecoveryS = 12\n\
             [CloudApi]\nAddress = \"{}\"\nRatePerS = 46.0\nDuties = []\n\
             MaxLagMs = 800\n",
            seeds.join(","),
            m.disk,
            self.list,
        );
        let path = self.folder.join(format!("node-{number}.toml"));
        fs::write(&path, text).expect("settings");
        let log = fs::File::create(self.folder.join(format!("log-{number}")))
            .expect("a log");
        let mut command = Command::new("target/release/primrosemast-platform");
        command
            .env_clear()
            .env("PRIMROSEMAST_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        self.record.line(format!("start machine {number} in {zone}"));
        self.machines[index].child =
            Some(command.spawn().expect("the program of the deploy file"));
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, FRONT))
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.machines[index].ip, CONTROL))
    }

    /// Sends a configuration, as the operator does, until it is acknowledged.
    pub fn configure(&self, text: &str, limit: Duration) -> bool {
        let start = Instant::now();
        let mut turn = 0;
        while start.elapsed() < limit {
            let at = self.control(turn % self.machines.len());
            turn += 1;
            let head = format!(
                "PUT /api/config HTTP/1.1\r\nHost: {at}\r\n\
                 Content-Type: application/json\r\nConnection: close\r\n"
            );
            let answer = client::exchange(
                at,
                &head,
                text.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |a| a.status);
            self.record.line(format!("configuration sent to {at}: {status}"));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Waits until every machine answers its health check with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let ready = |m: &Machine| {
                let at = SocketAddr::from((m.ip, READINESS));
                let head = format!(
                    "GET /api/ready HTTP/1.1\r\nHost: {at}\r\n\
                     Connection: close\r\n"
                );
                client::exchange(at, &head, &[], Duration::from_secs(1))
                    .is_some_and(|a| a.status == 200)
            };
            if self.machines.iter().all(ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Stands for the links to a machine from the others. While links are lossy,
    /// those between [`LOSSY_ZONE`] and the other zones lose packets. A lost
    /// packet holds up what follows on its connection for a retransmission of
    /// TCP.
    fn start_proxy(&self, number: u8, layout: &[(&'static str, bool)]) {
        let zones: Vec<&'static str> = layout.iter().map(|l| l.0).collect();
        let at = (self.net.ip(100 + number), PEER);
        let listener = TcpListener::bind(at).expect("a link");
        let to = SocketAddr::from((self.net.ip(number), PEER));
        let lossy = Arc::clone(&self.lossy);
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let Ok(out) = TcpStream::connect(to) else { continue };
                let _ = (from.set_nodelay(true), out.set_nodelay(true));
                let (Ok(from2), Ok(out2)) = (from.try_clone(), out.try_clone())
                else {
                    continue;
                };
                // A machine opens its connections from its own address.
                let sender = match from.peer_addr() {
                    Ok(SocketAddr::V4(at)) => at.ip().octets()[3],
                    _ => 0,
                };
                let in_zone = |n: u8| {
                    let at = usize::from(n).wrapping_sub(1);
                    zones.get(at).is_some_and(|z| *z == LOSSY_ZONE)
                };
                let crosses = in_zone(sender) != in_zone(number);
                let may_lose = |l: &Arc<AtomicBool>| {
                    if crosses { Arc::clone(l) } else { Arc::default() }
                };
                let (l1, l2) = (may_lose(&lossy), may_lose(&lossy));
                thread::spawn(move || carry(from, out, &l1));
                thread::spawn(move || carry(out2, from2, &l2));
            }
        });
    }
}

/// Zone whose links to the other zones may lose packets.
const LOSSY_ZONE: &str = "gondar-b";

/// Share of the packets that a lossy link loses, in thousandths.
pub const LOST_PER_MILLE: u64 = 25;

/// Shortest retransmission time of TCP.
const RETRANSMISSION: Duration = Duration::from_millis(200);

fn carry(mut from: TcpStream, mut to: TcpStream, lossy: &AtomicBool) {
    let mut random = Random::new();
    let mut buf = vec![0; 1448];
    loop {
        let n = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(n) => n,
        };
        if lossy.load(Ordering::Relaxed)
            && random.below(1000) < LOST_PER_MILLE
        {
            thread::sleep(RETRANSMISSION);
        }
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
