//! A server turns cold unannounced.

use std::time::Duration;

use quetzalrack_standins::backend::ServerFaults;
use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::results::Line;

const RATE: f64 = 400.0;
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(18);

/// Turns one server of the last undivided service cold under load.
pub(super) async fn silent_cold(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "400 requests/s of one undivided service; after 6 s one of its four servers turns cold and \
         goes on announcing that it is warm. It bears two requests at once, works five times \
         slower above that and sheds from six on; it does not warm up while overloaded.",
        "99th percentile by second, ms",
    );
    for choice in [Choice::Default, Choice::RoundRobin] {
        let mut scene = Scene::start(options, choice).await?;
        let last = scene.environment.hosts.len() - 1;
        let service = scene.environment.hosts[last].plan.service.name.clone();
        let all = BEFORE + AFTER;
        let plan = scene.plan_of(RATE, all.as_secs(), |name, _| *name == service);
        let act = async |environment: &mut RunningEnvironment, _: &LoadTargets| {
            sleep(BEFORE).await;
            let cold = ServerFaults {
                turn_cold: true,
                ..ServerFaults::default()
            };
            Ok(environment.hosts[last].set_faults(&cold).await?)
        };
        let (samples, ()) = scene.load_while(&plan, act).await?;
        let variant = choice.to_string();
        let split = |is_before: bool| -> Vec<&Sample> {
            let inside = |sample: &&Sample| (sample.at < BEFORE) == is_before;
            samples.iter().filter(inside).collect()
        };
        findings.add_phase(&variant, "before", &split(true));
        findings.add_phase(&variant, "after", &split(false));
        let truth = scene.environment.hosts[last].truth().await?;
        let most = f64::from(truth.counts.silent_cold_most);
        findings.add(&variant, "most at once while cold", most, "");
        findings.add(
            &variant,
            "shed by the cold server",
            truth.counts.shed as f64,
            "",
        );
        let still = f64::from(u8::from(truth.cold));
        findings.add(&variant, "still cold at the end (1 is yes)", still, "");
        findings.lines.push(Line::p99(&variant, &samples));
        findings.add_violations(&scene.check().await?);
    }
    Ok(findings)
}
