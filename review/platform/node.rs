//! Nodes under test: real processes with a settings file each.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::http;

/// The folder for settings, logs and the list of processes.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_TMP").expect("REVIEW_TMP names a folder"))
}

/// Writes down a process that has to be ended, should this one be interrupted.
pub fn note_process(id: u32) {
    let path = folder().join("pids");
    let file = OpenOptions::new().create(true).append(true).open(path);
    let _ = writeln!(file.expect("the folder can be written"), "{id}");
}

/// Sends a signal to a process that this one started.
pub fn signal(id: u32, name: &str) {
    let command = format!("kill -{name} {id}");
    let _ = Command::new("sh").args(["-c", &command]).status();
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    /// Settings for the next start.
    later_settings: Mutex<Option<String>>,
    log: PathBuf,
    pub child: Mutex<Option<Child>>,
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("it is bound").port()
}

/// Returns the first of two neighbouring free ports.
fn free_pair(ip: Ipv4Addr) -> u16 {
    loop {
        let first = free_port(ip);
        if first < 65_000 && TcpListener::bind((ip, first + 1)).is_ok() {
            return first;
        }
    }
}

impl Node {
    /// Writes the settings of a node; `place` makes its loopback address.
    pub fn new(name: &str, zone: &str, place: u8, store: SocketAddr) -> Self {
        let third = (std::process::id() % 200) as u8 + 20;
        let ip = Ipv4Addr::new(127, 91, third, place);
        let (front, ready, control) = (free_port(ip), free_port(ip), free_port(ip));
        let inner = free_pair(ip);
        let settings = folder().join(format!("{name}.conf"));
        let text = format!(
            "nodeName={name}\nrole=chivevalve\nmachineClass=front\nserves=front\nip={ip}\n\
             zone={zone}\nregion=ljubljana\nzones.hall-a=ljubljana\nzones.hall-b=ljubljana\n\
             zones.hall-c=ljubljana\nlisten.front={ip}:{front}\nlisten.readiness={ip}:{ready}\n\
             listen.control={ip}:{control}\ninnerPortRange={inner},{}\nseeds=\nbootstrap=true\n\
             lossCounts=false\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n\
             limits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n\
             entry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
             tolerance.machines=2\ntolerance.zones=0\ntolerance.regions=0\nbounds.seedLagS=3\n\
             bounds.reuseAfterS=2\nbounds.stableMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.stretchMaxMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetExtra=54\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\n\
             bounds.requireFence=false\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
             bounds.ceilingWindowS=5\nbounds.ceilingOverage=1.1\nbounds.version_ms=5000\n\
             platform.address={store}\nplatform.form=kv\nplatform.writesPerS=400\n\
             platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n\
             platform.minTtlMs=1000\n",
            inner + 1
        );
        fs::write(&settings, text).expect("the folder can be written");
        Self {
            name: name.to_owned(),
            front: (ip, front).into(),
            readiness: (ip, ready).into(),
            log: folder().join(format!("{name}.log")),
            settings,
            later_settings: Mutex::new(None),
            child: Mutex::new(None),
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        if let Some(text) = self.later_settings.lock().unwrap().take() {
            fs::write(&self.settings, text).expect("the folder can be written");
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log: File = log.expect("the folder can be written");
        let mut command = Command::new("target/release/chivevalved");
        command.arg("--platform").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("CHIVEVALVE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be cloned"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file was run");
        note_process(child.id());
        // Only the first start of the whole system is told that it is one.
        let text = fs::read_to_string(&self.settings).expect("it was written");
        let text = text.replace("bootstrap=true", "bootstrap=false");
        self.later_settings.lock().unwrap().replace(text);
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let child = self.child.lock().unwrap();
        if let Some(child) = &*child {
            signal(child.id(), name);
        }
    }

    /// Waits until the process has ended; kills it after `grace`.
    pub fn wait_end(&self, grace: Duration) {
        let until = std::time::Instant::now() + grace;
        let mut child = self.child.lock().unwrap();
        let Some(process) = child.as_mut() else {
            return;
        };
        loop {
            if matches!(process.try_wait(), Ok(Some(_))) {
                break;
            }
            if std::time::Instant::now() >= until {
                let _ = process.kill();
                let _ = process.wait();
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        *child = None;
    }

    /// Whether the node tells the platform's balancer that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.readiness, request, Duration::from_millis(500));
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        for _ in 0..600 {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(25));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Whether a file exists that the deploy file's build makes.
pub fn is_built() -> bool {
    Path::new("target/release/chivevalved").exists()
}
