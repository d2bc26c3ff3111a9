//! Holds feeds open.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::ops::load::caller::AnswerStream;
use crate::ops::load::caller::CallerError;
use crate::ops::load::caller::CallerPool;
use crate::ops::load::caller::read_chunk;
use crate::ops::load::report::LoadTally;
use crate::ops::load::workload::ServiceLoad;

/// Holds one feed open for `time` and counts it as broken if it ends before.
pub async fn hold_feed(
    pool: CallerPool,
    service: ServiceLoad,
    number: u32,
    time: Duration,
    tally: Arc<LoadTally>,
) {
    let flow = match pool.connect(&service.name, service.address).await {
        Ok(flow) => flow,
        Err(error) => {
            tally.flow_refused(&error);
            return;
        }
    };
    tally.flow_opened();
    let name = format!("feed-{number}");
    let path = format!("/feed/{name}");
    let answer = flow.ask("GET", &path, "", Bytes::new()).await;
    let result = match answer {
        Ok((head, mut stream)) if head.status().is_success() => {
            tokio::time::timeout(time, read_lines(&mut stream, &name)).await
        }
        Ok((head, _)) => Ok(Err(CallerError(format!("status {}", head.status())))),
        Err(error) => Ok(Err(error)),
    };
    // The time has passed while the feed was open: that is the good end.
    if let Ok(Err(error)) = result {
        tally.flow_broken(&error);
    }
}

async fn read_lines(stream: &mut AnswerStream, name: &str) -> Result<(), CallerError> {
    let mut expected = 0_u64;
    let mut buffer = String::new();
    while let Some(chunk) = read_chunk(stream).await? {
        buffer.push_str(&String::from_utf8_lossy(&chunk));
        while let Some((line, rest)) = buffer.split_once('\n') {
            if line != format!("{name} {expected}") {
                return Err(CallerError(format!("unexpected line \"{line}\"")));
            }
            expected += 1;
            buffer = rest.to_owned();
        }
    }
    Err(CallerError("the feed has ended".to_owned()))
}
