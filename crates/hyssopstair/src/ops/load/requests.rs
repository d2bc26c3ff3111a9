//! Asks requests at a fixed rate.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::StatusCode;

use crate::ops::load::caller::CallerFlow;
use crate::ops::load::caller::CallerPool;
use crate::ops::load::caller::WholeAnswer;
use crate::ops::load::report::LoadTally;
use crate::ops::load::workload::RequestLoad;
use crate::ops::load::workload::ServiceLoad;

/// Body of a request that changes something.
const BODY: &[u8] = b"one registration";

/// Asks the requests of one kind for `time`.
pub async fn run_group(
    pool: CallerPool,
    service: ServiceLoad,
    group: RequestLoad,
    time: Duration,
    tally: Arc<LoadTally>,
) {
    let mut flows = Vec::new();
    for _ in 0..group.flows {
        match pool.connect(&service.name, service.address).await {
            Ok(flow) => {
                tally.flow_opened();
                flows.push(flow);
            }
            Err(error) => tally.flow_refused(&error),
        }
    }
    if flows.is_empty() {
        return;
    }
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / group.rate));
    let end = Instant::now() + time;
    let mut tasks = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        interval.tick().await;
        let flow = flows[number % flows.len()].clone();
        let task = ask_one(flow, group.clone(), number, tally.clone());
        tasks.push(tokio::spawn(task));
        number += 1;
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn ask_one(flow: CallerFlow, group: RequestLoad, number: usize, tally: Arc<LoadTally>) {
    let key = format!("{:032x}", rand::random::<u128>());
    let path = format!("{}/{number}", group.path);
    let body = if group.method == "POST" {
        Bytes::from_static(BODY)
    } else {
        Bytes::new()
    };
    let start = Instant::now();
    let answer = flow.ask_whole(&group.method, &path, &key, body).await;
    match answer {
        Ok(answer) => tally.answered(
            &answer,
            start.elapsed(),
            is_right(&group, &path, &key, &answer),
        ),
        Err(error) => tally.unanswered(&error),
    }
}

fn is_right(group: &RequestLoad, path: &str, key: &str, answer: &WholeAnswer) -> bool {
    if answer.head.status() != StatusCode::OK {
        return true;
    }
    let name = path.trim_start_matches("/work/");
    if group.method == "POST" {
        let expected = format!("done {name} {key} {}", BODY.len());
        return answer.body == expected.as_bytes();
    }
    !answer.body.is_empty()
        && answer
            .body
            .iter()
            .zip(name.bytes().cycle())
            .all(|(left, right)| *left == right)
}
