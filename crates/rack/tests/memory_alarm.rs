//! When the memory of a process is written to the log.

use quetzalrack_mesh::model::ByteSize;
use quetzalrack_rack::process::MemoryAlarm;

fn levels(megabytes: &[u64]) -> Vec<Option<u64>> {
    let mut alarm = MemoryAlarm::new(ByteSize::from_megabytes(200));
    let sizes = megabytes.iter().copied().map(ByteSize::from_megabytes);
    sizes.map(|size| alarm.observe(size)).collect()
}

/// Each share of the limit is told once on the way up.
#[test]
fn rising() {
    let seen = levels(&[20, 99, 100, 120, 150, 151, 180, 250]);
    let expected = [None, None, Some(50), None, Some(75), None, Some(90), None];
    assert_eq!(seen, expected);
}

/// A jump past several shares is told as the highest of them.
#[test]
fn jump() {
    assert_eq!(levels(&[20, 190, 195]), [None, Some(90), None]);
}

/// Memory that swings around a share doesn't fill the log; a share that was left clearly is told again.
#[test]
fn swinging() {
    let seen = levels(&[100, 99, 100, 98, 101, 79, 100]);
    assert_eq!(seen, [Some(50), None, None, None, None, None, Some(50)]);
}
