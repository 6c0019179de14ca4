//! A result's files.

use std::fs;
use std::path::Path;

use super::ExperimentResult;
use super::result_plot::plot;
use super::result_table::table;
use crate::LoadError;

/// Writes NAME.json, NAME.md and, where there are lines, NAME.svg, and returns the table.
pub fn write_result(result: &ExperimentResult, folder: &Path) -> Result<String, LoadError> {
    fs::create_dir_all(folder).map_err(LoadError::Folder)?;
    let path = |kind: &str| folder.join(format!("{}.{kind}", result.name));
    let json = serde_json::to_string_pretty(result)?;
    fs::write(path("json"), json + "\n").map_err(LoadError::Folder)?;
    let text = table(result);
    fs::write(path("md"), &text).map_err(LoadError::Folder)?;
    if !result.lines.is_empty() {
        plot(result, &path("svg"))?;
    }
    Ok(text)
}
