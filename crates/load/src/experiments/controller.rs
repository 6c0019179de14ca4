//! Finds hosts by what they do.

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_testutils::environment::Host;
use quetzalrack_testutils::environment::RunningEnvironment;

use crate::LoadError;

/// Finds the host whose node is controller.
pub(super) async fn controller_host(environment: &RunningEnvironment) -> Result<usize, LoadError> {
    for (place, host) in environment.hosts.iter().enumerate() {
        let Ok(status) = host.status().await else {
            continue;
        };
        if status.controller.is_some_and(|controller| controller.here) {
            return Ok(place);
        }
    }
    Err(LoadError::Experiment("no node says that it is controller"))
}

/// Finds a host of a service whose node is not controller and holds slices.
pub(super) async fn holder_host(
    environment: &RunningEnvironment,
    service: &ServiceName,
) -> Result<usize, LoadError> {
    let controller = controller_host(environment).await?;
    for (place, host) in environment.hosts.iter().enumerate() {
        let is_other = place != controller && host.plan.service.name == *service;
        if is_other && host.has_node() && !held(host).await?.is_empty() {
            return Ok(place);
        }
    }
    Err(LoadError::Experiment(
        "no other node of the service holds a slice",
    ))
}

/// Lists the slices that a host's node holds.
pub(super) async fn held(host: &Host) -> Result<Vec<SliceId>, LoadError> {
    let status = host.status().await?;
    Ok(status.leases.into_iter().map(|lease| lease.slice).collect())
}

/// Returns the first service that is divided by key.
pub(super) fn divided(environment: &RunningEnvironment) -> Result<ServiceName, LoadError> {
    let mut services = environment.plan.document.services.iter();
    services
        .find(|service| service.divided_by_key)
        .map(|service| service.name.clone())
        .ok_or(LoadError::Experiment("no service is divided by key"))
}
