//! Nobody misbehaves.

use crate::crowd::Site;
use crate::crowd::small_machine;

/// Guards against limits that a process in calm doesn't keep.
#[tokio::test(flavor = "multi_thread")]
async fn quiet_world() {
    let mut site = Site::start(small_machine()).await;
    site.check("in calm").await;
}
