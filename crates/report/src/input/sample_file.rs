//! Readings as lines of JSON.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;

use quetzalrack_core::burn::NodeSample;

use super::InputError;

/// Reads a file of readings, one JSON value a line.
pub fn read_samples(path: &Path) -> Result<Vec<NodeSample>, InputError> {
    let failed = |source| InputError::File {
        path: path.to_owned(),
        source,
    };
    let mut samples = Vec::new();
    for (index, line) in BufReader::new(File::open(path).map_err(failed)?)
        .lines()
        .enumerate()
    {
        let line = line.map_err(failed)?;
        if line.trim().is_empty() {
            continue;
        }
        let sample = serde_json::from_str(&line).map_err(|source| InputError::Line {
            path: path.to_owned(),
            line: index + 1,
            source,
        })?;
        samples.push(sample);
    }
    Ok(samples)
}

/// Writes one reading as a line.
pub fn write_sample(file: &mut File, path: &Path, sample: &NodeSample) -> Result<(), InputError> {
    let mut line = serde_json::to_vec(sample).map_err(|source| InputError::Line {
        path: path.to_owned(),
        line: 0,
        source,
    })?;
    line.push(b'\n');
    file.write_all(&line).map_err(|source| InputError::File {
        path: path.to_owned(),
        source,
    })
}
