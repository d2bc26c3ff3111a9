//! Holds feeds open.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::ResponseStream;
use crate::ops::load::caller::read_chunk;
use crate::ops::load::groups::LoadRun;
use crate::ops::load::workload::FeedLoad;
use crate::ops::load::workload::ServiceLoad;

/// Holds one feed open until the load ends, and counts it as broken each time
/// that it ends before it should. A broken feed is opened again.
pub async fn hold_feed(run: LoadRun, service: ServiceLoad, group: FeedLoad, number: u32) {
    let end = run.start + run.time;
    let life = group.reconnect_seconds.map(Duration::from_secs_f64);
    let mut opening = 0;
    while Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        let time = life.map_or(left, |life| life.min(left));
        let name = format!("feed-{number}-{opening}-{}", run.name);
        hold_once(&run, &service, &name, time).await;
        opening += 1;
    }
}

async fn hold_once(run: &LoadRun, service: &ServiceLoad, name: &str, time: Duration) {
    let flow = match run.connector.connect(&service.name, service.address).await {
        Ok(flow) => flow,
        Err(error) => {
            run.tally.flow_refused(&error);
            return;
        }
    };
    run.tally.flow_opened();
    let reading = async {
        let path = format!("/feed/{name}");
        let (head, mut stream) = flow.start_request("GET", &path, "", Bytes::new()).await?;
        if !head.status().is_success() {
            return Err(CallerError::Lost(format!("status {}", head.status())));
        }
        read_lines(&mut stream, name).await
    };
    // The time passes while the feed is open: that is the good end.
    if let Ok(Err(error)) = tokio::time::timeout(time, reading).await {
        run.tally.flow_broken("feed", &error);
    }
}

async fn read_lines(stream: &mut ResponseStream, name: &str) -> Result<(), CallerError> {
    let mut expected = 0_u64;
    let mut buffer = String::new();
    while let Some(chunk) = read_chunk(stream).await? {
        buffer.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((line, rest)) = buffer.split_once('\n') {
            if line != format!("{name} {expected}") {
                return Err(CallerError::Lost(format!("unexpected line \"{line}\"")));
            }
            expected += 1;
            buffer = rest.to_owned();
        }
    }
    Err(CallerError::Lost("the feed has ended".to_owned()))
}
