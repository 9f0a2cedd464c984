//! Starts, signals and kills a balancer process.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tanager_standins::ports::ReservedPort;
use tanager_standins::settings::Instance;
use tokio::time::{Instant, sleep};

/// Longest wait for a graceful stop. A balancer completes running requests for up to 65 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(75);

/// A balancer process. Dropping it kills the process.
pub struct Balancer {
    pub instance: Instance,
    child: Child,
}

impl Balancer {
    /// Starts the process. Its settings file and its log are in `dir`.
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

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Waits for the process to end after a graceful stop.
    pub async fn wait(&mut self) -> io::Result<()> {
        let end = Instant::now() + STOP_TIMEOUT;
        while !self.has_exited() {
            if Instant::now() > end {
                return Err(io::Error::other("a balancer did not stop within 75 s"));
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

/// Returns an address whose port is currently free for both TCP and UDP.
pub fn free_address() -> io::Result<SocketAddr> {
    ReservedPort::reserve().map(|port| port.address)
}
