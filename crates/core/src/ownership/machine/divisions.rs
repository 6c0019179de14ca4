//! Into how many slices the services in use are divided.

use std::collections::BTreeMap;

use super::Context;
use crate::ids::ServiceName;
use crate::ids::SliceId;
use crate::ownership::record::Division;
use crate::ownership::record::TermState;

/// Remembers the number of slices with which each service came into use.
///
/// A document that changes it is not followed: while the change spreads, two nodes would name
/// different slices for one key, and both could own theirs.
#[derive(Clone, Debug, Default)]
pub(super) struct Divisions {
    slices: BTreeMap<ServiceName, u32>,
}

impl Divisions {
    /// Collects what the term fixes and what the last controller published since.
    pub(super) fn collect(context: &Context<'_>, term: Option<&TermState>) -> Self {
        let published = context.routing.services.iter();
        let mut slices: BTreeMap<ServiceName, u32> = published
            .map(|(name, slices)| (name.clone(), slices.count))
            .collect();
        let fixed = term.into_iter().flat_map(|term| &term.claim.divisions);
        slices.extend(fixed.map(|fixed| (fixed.service.clone(), fixed.slices)));
        Self { slices }
    }

    /// Takes in the services that came into use with a newer document.
    pub(super) fn add_services(&mut self, context: &Context<'_>) {
        let services = context.intent.map(|intent| &intent.document.services);
        for service in services.into_iter().flatten() {
            if !self.slices.contains_key(&service.name) {
                self.slices.insert(service.name.clone(), service.slices);
            }
        }
    }

    /// Returns how many slices a service has.
    pub(super) fn count(&self, service: &ServiceName) -> u32 {
        self.slices.get(service).copied().unwrap_or(0)
    }

    /// Tells whether the document names the service of a slice and the service has the slice.
    pub(super) fn has_slice(&self, context: &Context<'_>, slice: &SliceId) -> bool {
        let document = context.intent.map(|intent| &intent.document);
        let named = document.is_some_and(|document| document.service(&slice.service).is_some());
        named && slice.index.0 < self.count(&slice.service)
    }

    /// Lists the divisions of the services that the document still names, for the next claim. All
    /// are kept while the document is not known.
    pub(super) fn named_in(&self, context: &Context<'_>) -> Vec<Division> {
        let named = |name: &ServiceName| {
            context
                .intent
                .is_none_or(|intent| intent.document.service(name).is_some())
        };
        let kept = self.slices.iter().filter(|(name, _)| named(name));
        let division = |(service, slices): (&ServiceName, &u32)| Division {
            service: service.clone(),
            slices: *slices,
        };
        kept.map(division).collect()
    }
}
