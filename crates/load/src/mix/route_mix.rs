//! The mix of routes of a document.

use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::document::spec::Method;
use quetzalrack_core::document::spec::Priority;
use quetzalrack_core::document::spec::RouteSpec;
use quetzalrack_core::ids::ServiceName;
use rand::Rng;

/// Draws the routes of a document: reading routes by their priority, work that must not repeat
/// and uploads seldom, as in a shop where many look and few order.
#[derive(Clone, Debug)]
pub struct RouteMix {
    routes: Vec<Weighted>,
    total: u32,
}

#[derive(Clone, Debug)]
struct Weighted {
    service: ServiceName,
    route: RouteSpec,
    weight: u32,
}

impl RouteMix {
    /// Takes every route of a document.
    pub fn of(document: &EnvironmentDocument) -> Self {
        Self::filtered(document, |_, _| true)
    }

    /// Takes the routes that `wanted` keeps.
    pub fn filtered<F>(document: &EnvironmentDocument, wanted: F) -> Self
    where
        F: Fn(&ServiceName, &RouteSpec) -> bool,
    {
        let mut routes = Vec::new();
        for service in &document.services {
            for route in &service.routes {
                if wanted(&service.name, route) {
                    routes.push(Weighted {
                        service: service.name.clone(),
                        route: route.clone(),
                        weight: weight(route),
                    });
                }
            }
        }
        let total = routes.iter().map(|weighted| weighted.weight).sum();
        Self { routes, total }
    }

    /// Draws a route; none if the mix is empty.
    pub fn draw<R>(&self, random: &mut R) -> Option<(&ServiceName, &RouteSpec)>
    where
        R: Rng,
    {
        if self.total == 0 {
            return None;
        }
        let mut left = random.random_range(0..self.total);
        for weighted in &self.routes {
            if left < weighted.weight {
                return Some((&weighted.service, &weighted.route));
            }
            left -= weighted.weight;
        }
        None
    }
}

fn weight(route: &RouteSpec) -> u32 {
    match (route.method, route.priority) {
        (Method::Get, Priority::High) => 8,
        (Method::Get, Priority::Normal) => 6,
        (Method::Get, Priority::Low) => 4,
        (Method::Post | Method::Delete, _) => 2,
        (Method::Put, _) => 1,
    }
}
