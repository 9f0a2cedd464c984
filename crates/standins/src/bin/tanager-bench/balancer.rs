//! One balancer process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tanager_standins::ports::ReservedPort;
use tanager_standins::settings::Instance;
use tokio::time::{Instant, sleep};

/// Longest wait for a process to stop gracefully; a balancer finishes requests for up to 65 s.
const STOP_LIMIT: Duration = Duration::from_secs(75);

/// A balancer process. Dropping it kills the process.
pub struct Balancer {
    pub instance: Instance,
    child: Child,
}

impl Balancer {
    /// Starts the process with its settings and its log in `dir`.
    pub fn spawn(instance: Instance, settings: &str, dir: &Path) -> io::Result<Self> {
        let path = dir.join(format!("{}.yaml", instance.name));
        std::fs::write(&path, settings)?;
        let program = std::env::current_exe()?.with_file_name("tanager-balancer");
        let log = std::fs::File::create(path.with_extension("log"))?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { instance, child })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Sends a signal to this process by its id.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Waits for the process to end after a graceful stop.
    pub async fn wait(&mut self) -> io::Result<()> {
        let end = Instant::now() + STOP_LIMIT;
        while !self.is_ended() {
            if Instant::now() > end {
                return Err(io::Error::other("a balancer does not stop"));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns an address that is free for TCP and UDP at the moment.
pub fn free_address() -> io::Result<SocketAddr> {
    ReservedPort::reserve().map(|port| port.address)
}
