//! A log service that can't be reached.

use std::time::Duration;

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::LogService;
use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::Offset;

/// Answers nothing.
pub struct NoLog;

impl LogService for NoLog {
    fn append<'a>(&'a self, _: &'a Stream, _: Vec<u8>) -> BoxFuture<'a, AppendOutcome> {
        Box::pin(async { AppendOutcome::Refused })
    }

    fn read<'a>(&'a self, _: &'a Stream, _: Offset, _: Duration) -> BoxFuture<'a, ReadOutcome> {
        Box::pin(async { ReadOutcome::Unavailable })
    }
}
