//! The record of a case, and the loopback network that it uses.

use std::{
    fs::File,
    io::Write,
    net::Ipv4Addr,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What happened, in the order of its time.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let path = Path::new(folder).join("record.txt");
        let file = File::create(path).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at} {}", text.as_ref());
    }

    /// Writes a line and shows it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A small generator of random numbers; its seed comes from the clock.
pub struct Random(u64);

impl Random {
    pub fn new() -> Random {
        let nanos = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |d| d.as_nanos() as u64);
        Random(nanos ^ (u64::from(std::process::id()) << 40) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 up to `end`, without it.
    pub fn below(&mut self, end: u64) -> u64 {
        (self.next() >> 11) % end
    }
}

/// A loopback network `127.A.B.0` on which the fixed ports are free.
#[derive(Clone, Copy)]
pub struct Net(pub u8, pub u8);

impl Net {
    pub fn pick(random: &mut Random) -> Net {
        Net(20 + random.below(230) as u8, 1 + random.below(250) as u8)
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, last)
    }
}
