//! Limits of a world's machines and of its clients.

/// What the settings of each process and the operators' configuration allow.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory of a process, in MB.
    pub memory_mb: u64,
    /// Descriptors of a process.
    pub max_fds: usize,
    /// Longest head of a request.
    pub header_bytes: usize,
    /// Longest body of a request.
    pub body_bytes: usize,
    /// How long a head may take, a connection may stay idle and a request may wait, in ms.
    pub timeout_ms: u64,
}

impl Limits {
    /// Adds the machine's limits to a settings file.
    pub(super) fn settings(&self, text: &str) -> String {
        let table = "[self.limits]\n";
        assert!(text.contains(table));
        let (memory, descriptors) = (self.memory_mb, self.max_fds);
        let limits = format!("{table}memory_mb = {memory}\nmax_fds = {descriptors}\n");
        text.replace(table, &limits)
    }

    /// Replaces the clients' limits in a configuration.
    pub(super) fn config(&self, text: &str) -> String {
        let mut config: serde_json::Value = serde_json::from_str(text).unwrap();
        let resources = config["resources"].as_array_mut().unwrap();
        let limits = resources
            .iter_mut()
            .find(|resource| resource["resource_type"] == "limits");
        let timeout = format!("{}ms", self.timeout_ms);
        limits.unwrap()["spec"] = serde_json::json!({
            "max_header_bytes": self.header_bytes, "max_body_bytes": self.body_bytes,
            "header_timeout": timeout, "idle_timeout": timeout});
        config.to_string()
    }
}
