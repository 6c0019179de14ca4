//! A result as a markdown table.

use super::ExperimentResult;

/// Writes the figures with one column for each variant, and each baseline as a ratio to the first
/// variant.
pub(super) fn table(result: &ExperimentResult) -> String {
    let variants = ordered(result.figures.iter().map(|figure| figure.variant.as_str()));
    let measures = ordered(result.figures.iter().map(|figure| figure.measure.as_str()));
    let mut text = format!(
        "# {}, {}\n\n{}\n\nSeed {}, commit {}, {} build, {} cores, load average before {:.2}, took {:.0} s.\n\n",
        result.name,
        result.environment,
        result.setup,
        result.seed,
        result.machine.commit,
        result.machine.profile,
        result.machine.cores,
        result.machine.load_average,
        result.seconds
    );
    text += &format!("| measure | {} |\n", variants.join(" | "));
    text += &format!("|---|{}\n", "---|".repeat(variants.len()));
    for measure in measures {
        let cells: Vec<String> = variants
            .iter()
            .map(|variant| cell(result, measure, variant, variants[0]))
            .collect();
        text += &format!("| {measure} | {} |\n", cells.join(" | "));
    }
    text += &format!(
        "\nBroken promises found by the checker: {}\n",
        result.violations.len()
    );
    for violation in &result.violations {
        text += &format!("- {violation}\n");
    }
    text
}

fn cell(result: &ExperimentResult, measure: &str, variant: &str, first: &str) -> String {
    let find = |variant: &str| {
        let mut figures = result.figures.iter();
        figures.find(|figure| figure.measure == measure && figure.variant == variant)
    };
    let Some(figure) = find(variant) else {
        return String::from("-");
    };
    let value = format!("{} {}", rounded(figure.value), figure.unit);
    match find(first) {
        Some(base) if variant != first && base.value > 0.0 => {
            format!("{value} (×{:.2})", figure.value / base.value)
        }
        _ => value,
    }
}

fn rounded(value: f64) -> String {
    match value {
        value if value.fract() == 0.0 => format!("{value:.0}"),
        value if value.abs() < 10.0 => format!("{value:.3}"),
        value => format!("{value:.1}"),
    }
}

fn ordered<'a, I>(names: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut ordered = Vec::new();
    for name in names {
        if !ordered.contains(&name) {
            ordered.push(name);
        }
    }
    ordered
}
