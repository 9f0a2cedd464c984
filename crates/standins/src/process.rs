//! Resource usage of a running process, read from `/proc`.

/// Clock ticks a second in `/proc/PID/stat`; fixed in the Linux interface for user programs.
const TICKS_PER_S: f64 = 100.0;

/// Returns the CPU time that a process has used, in seconds.
#[must_use]
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name in parentheses may contain spaces. User and system time are fields 14 and 15.
    let mut fields = text.rsplit_once(')')?.1.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Returns the resident memory of a process in bytes.
#[must_use]
pub fn resident_bytes(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1_024.0)
}
