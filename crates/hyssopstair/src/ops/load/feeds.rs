//! Keeps feeds open and verifies that they deliver every line.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::ResponseStream;
use crate::ops::load::caller::read_chunk;
use crate::ops::load::groups::LoadContext;
use crate::ops::load::workload::FeedLoad;
use crate::ops::load::workload::ServiceLoad;

/// Keeps a feed open until the load ends. The feed is closed and reopened whenever it
/// reaches the age that the workload sets. A feed that ends before that is counted as
/// broken and reopened.
pub async fn keep_feed_open(
    context: LoadContext,
    service: ServiceLoad,
    group: FeedLoad,
    number: u32,
) {
    let end = context.start + context.duration;
    let max_age = group.reconnect_seconds.map(Duration::from_secs_f64);
    let mut attempt = 0;
    while Instant::now() < end {
        let remaining = end.saturating_duration_since(Instant::now());
        let duration = max_age.map_or(remaining, |max_age| max_age.min(remaining));
        let name = format!("feed-{number}-{attempt}-{}", context.run_id);
        read_feed(&context, &service, &name, duration).await;
        attempt += 1;
    }
}

/// Opens a feed and reads it for `duration`.
async fn read_feed(context: &LoadContext, service: &ServiceLoad, name: &str, duration: Duration) {
    let flow = match context
        .connector
        .connect(&service.name, service.address)
        .await
    {
        Ok(flow) => flow,
        Err(error) => {
            context.tally.record_flow_refused(&error);
            return;
        }
    };
    context.tally.record_flow_opened();
    let reading = async {
        let path = format!("/feed/{name}");
        let (head, mut stream) = flow.start_request("GET", &path, "", Bytes::new()).await?;
        if !head.status().is_success() {
            return Err(CallerError::Failed(format!("status {}", head.status())));
        }
        verify_lines(&mut stream, name).await
    };
    // A timeout means that the feed was open for the whole duration, as expected.
    if let Ok(Err(error)) = tokio::time::timeout(duration, reading).await {
        context.tally.record_flow_broken("feed", &error);
    }
}

/// Reads a feed and verifies that its lines carry the name of the feed and
/// consecutive numbers from 0. Returns only with an error: if a line is wrong or the
/// feed ends.
async fn verify_lines(stream: &mut ResponseStream, name: &str) -> Result<(), CallerError> {
    let mut expected = 0_u64;
    let mut buffer = String::new();
    while let Some(chunk) = read_chunk(stream).await? {
        buffer.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((line, rest)) = buffer.split_once('\n') {
            if line != format!("{name} {expected}") {
                return Err(CallerError::Failed(format!("unexpected line \"{line}\"")));
            }
            expected += 1;
            buffer = rest.to_owned();
        }
    }
    Err(CallerError::Failed("the feed ended".to_owned()))
}
