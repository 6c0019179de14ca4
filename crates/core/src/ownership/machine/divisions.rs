//! The number of slices of each service.

use std::collections::BTreeMap;

use super::Context;
use crate::ids::ServiceName;
use crate::ids::SliceId;
use crate::ownership::record::Division;
use crate::ownership::record::TermState;

/// Remembers the number of slices that each service had when it came into use.
///
/// A document that changes this number is not followed. While the change spreads, two nodes would
/// map one key to different slices, and each could own its slice.
#[derive(Clone, Debug, Default)]
pub(super) struct Divisions {
    slices: BTreeMap<ServiceName, u32>,
}

impl Divisions {
    /// Collects the numbers fixed by the term and those published by the last controller since.
    pub(super) fn collect(context: &Context<'_>, term: Option<&TermState>) -> Self {
        let published = context.routing.services.iter();
        let mut slices: BTreeMap<ServiceName, u32> = published
            .map(|(name, slices)| (name.clone(), slices.count))
            .collect();
        let fixed = term.into_iter().flat_map(|term| &term.claim.divisions);
        slices.extend(fixed.map(|fixed| (fixed.service.clone(), fixed.slices)));
        Self { slices }
    }

    /// Adds the services that came into use with a newer document.
    pub(super) fn add_services(&mut self, context: &Context<'_>) {
        let services = context.intent.map(|intent| &intent.document.services);
        for service in services.into_iter().flatten() {
            if !self.slices.contains_key(&service.name) {
                self.slices.insert(service.name.clone(), service.slices);
            }
        }
    }

    /// Returns the number of slices of a service, 0 if it is unknown.
    pub(super) fn count(&self, service: &ServiceName) -> u32 {
        self.slices.get(service).copied().unwrap_or(0)
    }

    /// Tells whether a slice exists and the document names its service.
    pub(super) fn has_slice(&self, context: &Context<'_>, slice: &SliceId) -> bool {
        let document = context.intent.map(|intent| &intent.document);
        let named = document.is_some_and(|document| document.service(&slice.service).is_some());
        named && slice.index.0 < self.count(&slice.service)
    }

    /// Returns the divisions of the services that the document still names, for the next claim. All
    /// are kept while the document is unknown.
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
