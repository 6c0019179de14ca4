//! Waiting for something to become true, in place of sleeping and hoping.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

/// How often the question is asked again.
const PERIOD: Duration = Duration::from_millis(20);

/// Asks until there is an answer, or returns none when `patience` is used up.
pub async fn poll_until<T, F, A>(patience: Duration, mut ask: A) -> Option<T>
where
    F: Future<Output = Option<T>>,
    A: FnMut() -> F,
{
    let until = Instant::now() + patience;
    loop {
        if let Some(answer) = ask().await {
            return Some(answer);
        }
        if Instant::now() >= until {
            return None;
        }
        sleep(PERIOD).await;
    }
}
