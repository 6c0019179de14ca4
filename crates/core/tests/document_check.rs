//! The checker reports all problems at once, each with its code and place, in three languages.

#![allow(clippy::unwrap_used)]

use std::fmt::Write;

use proptest::prelude::*;
use quetzalrack_core::document::CheckReport;
use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::document::ProblemCode;
use quetzalrack_core::document::check::MAX_BYTES;
use quetzalrack_core::document::check::MAX_DEPTH;
use quetzalrack_core::document::check::check;
use quetzalrack_core::document::check::missing_file;
use quetzalrack_core::language::Language;

/// A copy of an example, so that changing the example does not change the expected places.
const ANDINA: &str = include_str!("data/andina.json");
const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/andina.json"),
    include_str!("../../../examples/bagmati.json"),
];

fn changed(from: &str, to: &str) -> Vec<u8> {
    assert!(ANDINA.contains(from), "{from}");
    ANDINA.replacen(from, to, 1).into_bytes()
}

fn codes(report: &CheckReport) -> Vec<ProblemCode> {
    report.problems.iter().map(|problem| problem.code).collect()
}

/// Changes of a valid document, at least one for every code that a small change can cause.
const CHANGES: [(ProblemCode, &str, &str); 29] = [
    (
        ProblemCode::UnknownField,
        "\"slots\"",
        "\"colour\": 1, \"slots\"",
    ),
    (
        ProblemCode::MissingField,
        "\"environment\": \"andina\",",
        "",
    ),
    (ProblemCode::WrongType, "\"slots\": 18", "\"slots\": [18]"),
    (
        ProblemCode::WrongUnit,
        "\"lease_ms\": 1200",
        "\"lease_s\": 2",
    ),
    (
        ProblemCode::WrongUnit,
        "\"latency_ms\": 100",
        "\"latency_us\": 100",
    ),
    (
        ProblemCode::WrongUnit,
        "\"latency_ms\": 100",
        "\"latency_ms\": \"100ms\"",
    ),
    (
        ProblemCode::RepeatedField,
        "\"slots\": 18",
        "\"slots\": 18, \"slots\": 18",
    ),
    (ProblemCode::BadName, "\"suba\"", "\"Suba Norte\""),
    (
        ProblemCode::OutOfRange,
        "\"margin_ms\": 100",
        "\"margin_ms\": 0",
    ),
    (ProblemCode::NotWhole, "\"slots\": 18", "\"slots\": 18.5"),
    (ProblemCode::UnknownChoice, "\"GET\"", "\"FETCH\""),
    (ProblemCode::Zero, "\"slots\": 18", "\"slots\": 0"),
    (ProblemCode::BadPath, "/proofs/{key}", "/proofs/{key}/{key}"),
    (ProblemCode::DuplicateZone, "\"suba\"", "\"chapinero\""),
    (
        ProblemCode::DuplicateService,
        "\"job-history\"",
        "\"order-book\"",
    ),
    (
        ProblemCode::DuplicateRoute,
        "\"view-order\"",
        "\"place-order\"",
    ),
    (
        ProblemCode::OverlappingRoute,
        "\"path\": \"/jobs/{key}\"",
        "\"path\": \"/{any}/{key}\"",
    ),
    (
        ProblemCode::ColdAboveSlots,
        "\"cold_slots\": 2",
        "\"cold_slots\": 19",
    ),
    (ProblemCode::KeyMissing, "/proofs/{key}", "/proofs/{any}"),
    (
        ProblemCode::DeadlineTooShort,
        "\"deadline_ms\": 2000",
        "\"deadline_ms\": 99",
    ),
    (
        ProblemCode::LeaseTooShort,
        "\"lease_ms\": 1200",
        "\"lease_ms\": 899",
    ),
    (
        ProblemCode::TightObjective,
        "\"latency_ms\": 100",
        "\"latency_ms\": 17",
    ),
    (
        ProblemCode::SlotsAboveConnections,
        "\"slots\": 18",
        "\"slots\": 131",
    ),
    (ProblemCode::FewServers, "\"servers\": 4", "\"servers\": 3"),
    (ProblemCode::LoneServer, "\"servers\": 4", "\"servers\": 1"),
    (ProblemCode::NoBudget, "99.5", "100"),
    (
        ProblemCode::SlowTakeover,
        "\"lease_ms\": 1200",
        "\"lease_ms\": 2000",
    ),
    (
        ProblemCode::FewZones,
        "\"usaquen\",\n    \"fontibon\",\n    \"suba\"",
        "\"suba\"",
    ),
    (ProblemCode::FewSlices, "\"slices\": 16", "\"slices\": 3"),
];

/// Returns invalid documents, at least one for every code but that of a missing file.
fn invalid_documents() -> Vec<(ProblemCode, Vec<u8>)> {
    let mut documents = vec![
        (ProblemCode::Empty, Vec::new()),
        (ProblemCode::TooLarge, vec![b'['; 10_000_000]),
        (ProblemCode::TooDeep, vec![b'['; MAX_DEPTH + 1]),
        (
            ProblemCode::NotUtf8,
            b"{\n  \"environment\": \"\xff\"\n}".to_vec(),
        ),
        (
            ProblemCode::Syntax,
            b"{\n  \"zones\": [\"suba\",]\n}".to_vec(),
        ),
    ];
    let zones = vec!["\"suba\""; 65].join(", ");
    documents.push((ProblemCode::TooMany, changed("\"suba\"", &zones)));
    documents.extend(CHANGES.map(|(code, from, to)| (code, changed(from, to))));
    documents
}

#[test]
fn valid_documents() {
    for text in EXAMPLES.into_iter().chain([ANDINA]) {
        let report = check(text.as_bytes());
        assert_eq!(report.problems, []);
        let document: EnvironmentDocument = serde_json::from_str(text).unwrap();
        assert_eq!(report.document.as_deref(), Some(&document));
    }
}

#[test]
fn every_code() {
    let missing = missing_file("andina.json", "os error 2");
    let mut seen = vec![missing.code];
    let mut text = String::new();
    for (code, bytes) in invalid_documents() {
        let report = check(&bytes);
        let problem = report.problems.iter().find(|problem| problem.code == code);
        let problem = problem.unwrap_or_else(|| panic!("{code}: {:?}", report.problems));
        assert_eq!(
            report.has_errors(),
            !code.as_str().starts_with("QZ09"),
            "{code}"
        );
        seen.push(code);
        writeln!(text, "{code} {}", problem.place).unwrap();
        for language in Language::ALL {
            writeln!(text, "  {language}: {}", problem.message(language)).unwrap();
        }
    }
    for language in Language::ALL {
        writeln!(text, "QZ0001 {language}: {}", missing.message(language)).unwrap();
    }
    assert!(ProblemCode::ALL.iter().all(|code| seen.contains(code)));
    insta::assert_snapshot!(text);
}

#[test]
fn single_problem() {
    // A single mistake must not be reported as several.
    for (code, bytes) in invalid_documents() {
        let report = check(&bytes);
        let expected = match code {
            // The 65 equal zones are too many, and 64 of them repeat the first.
            ProblemCode::TooMany => 65,
            _ => 1,
        };
        assert_eq!(
            report.problems.len(),
            expected,
            "{code}: {:?}",
            codes(&report)
        );
    }
}

#[test]
fn several_problems() {
    let text = ANDINA
        .replacen("\"suba\"", "\"chapinero\"", 1)
        .replacen("\"lease_ms\"", "\"lease_s\"", 1)
        .replacen("\"slots\": 18", "\"slots\": 0", 1)
        .replacen("\"GET\"", "\"FETCH\"", 1);
    let report = check(text.as_bytes());
    assert_eq!(
        codes(&report),
        [
            ProblemCode::DuplicateZone,
            ProblemCode::WrongUnit,
            ProblemCode::Zero,
            ProblemCode::UnknownChoice,
        ]
    );
}

#[test]
fn strict_json() {
    for text in [
        "{} // note",
        "{'a': 1}",
        "{a: 1}",
        "[1,]",
        "{\"a\": 0x1}",
        "{} {}",
        "\u{feff}{}",
    ] {
        assert_eq!(
            codes(&check(text.as_bytes())),
            [ProblemCode::Syntax],
            "{text}"
        );
    }
}

#[test]
fn column_in_characters() {
    // Operators count characters, not bytes.
    let report = check("{\"नमस्ते\": 1, \"b\": 2}".as_bytes());
    let unknown = report
        .problems
        .iter()
        .filter(|p| p.code == ProblemCode::UnknownField);
    assert_eq!(unknown.map(|p| p.place.column).collect::<Vec<_>>(), [2, 15]);
}

#[test]
fn bounded_report() {
    let fields: Vec<_> = (0..10_000).map(|index| format!("\"x{index}\":1")).collect();
    let report = check(format!("{{{}}}", fields.join(",")).as_bytes());
    assert_eq!(report.problems.len(), CheckReport::MAX_PROBLEMS);
    assert!(report.hidden > 0 && report.has_errors());
}

#[test]
fn unusual_bytes() {
    let mut nested = vec![b'['; MAX_BYTES / 2];
    nested.extend(vec![b']'; MAX_BYTES / 2]);
    assert_eq!(codes(&check(&nested)), [ProblemCode::TooDeep]);
    for text in [
        "null",
        "[]",
        "1e999",
        "\"\"",
        "{}",
        "{\"zones\":null}",
        "{\"services\":[{}]}",
    ] {
        assert!(check(text.as_bytes()).has_errors(), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Any changed bytes give a report, and an accepted document can be deserialized.
    #[test]
    fn changed_bytes(changes in prop::collection::vec((0..ANDINA.len(), any::<u8>()), 1..8)) {
        let mut bytes = ANDINA.as_bytes().to_vec();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        let report = check(&bytes);
        let is_typed = serde_json::from_slice::<EnvironmentDocument>(&bytes).is_ok();
        prop_assert!(report.has_errors() || is_typed);
    }
}
