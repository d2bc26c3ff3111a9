//! Collects the lists of open flows of many hosts, so that one call of the platform's
//! store saves them.

use std::net::Ipv4Addr;
use std::time::Duration;

use hyssopstair_wire::carried::CarryMessage;
use hyssopstair_wire::time::MonotonicTime;

use crate::balancer::FlowBalancer;
use crate::event::DropReason;
use crate::event::FlowEvent;
use crate::outbox::FlowOutbox;
use crate::saved_flows::MAX_LIST_PARTS;
use crate::saved_flows::MAX_PART_BYTES;

/// Maximum number of parts that one call saves; the store accepts no more keys in a
/// transaction.
const MAX_SAVE_BATCH: usize = 32;

/// Time for which parts are collected.
const COLLECT_TIME: Duration = Duration::from_millis(300);

/// Maximum number of parts that wait. Hosts send rejected ones again.
const MAX_WAITING_PARTS: usize = 256;

/// A part of a host's list that is to be saved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SaveRequest {
    /// Address of the host.
    pub host: Ipv4Addr,
    /// Index of the part.
    pub part: u8,
    /// Number of the request, by which it is confirmed to the host.
    pub number: u32,
    /// The encoded part.
    pub encoded_part: Vec<u8>,
}

/// The parts that wait to be saved, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct SaveQueue {
    requests: Vec<SaveRequest>,
    first_queued_at: MonotonicTime,
}

impl FlowBalancer {
    /// Returns the requests of hosts that are to be saved now with one call, at most 32; empty
    /// if none is due.
    pub fn take_due_saves(&mut self, now: MonotonicTime) -> Vec<SaveRequest> {
        let queue = &mut self.save_queue;
        let is_full = queue.requests.len() >= MAX_SAVE_BATCH;
        let is_old = now.since(queue.first_queued_at) >= COLLECT_TIME;
        if queue.requests.is_empty() || !(is_full || is_old) {
            return Vec::new();
        }
        let batch_size = queue.requests.len().min(MAX_SAVE_BATCH);
        queue.first_queued_at = now;
        queue.requests.drain(..batch_size).collect()
    }

    /// Confirms to a host that a request of it was saved.
    pub fn confirm_save(&self, host: Ipv4Addr, number: u32, outbox: &mut FlowOutbox) {
        outbox.enqueue_message(host, &CarryMessage::FlowsSaved { number }, &[]);
    }

    /// Queues a part of a host's list to be saved. A newer part replaces the one that
    /// waits.
    pub(super) fn queue_save(
        &mut self,
        request: SaveRequest,
        now: MonotonicTime,
        outbox: &mut FlowOutbox,
    ) {
        let is_valid = usize::from(request.part) < MAX_LIST_PARTS
            && request.encoded_part.len() <= MAX_PART_BYTES;
        if !is_valid {
            outbox.record_event(FlowEvent::Dropped {
                reason: DropReason::Malformed,
            });
            return;
        }
        let queue = &mut self.save_queue;
        let waiting_index = queue
            .requests
            .iter()
            .position(|waiting| waiting.host == request.host && waiting.part == request.part);
        match waiting_index {
            Some(index) => queue.requests[index] = request,
            None if queue.requests.len() < MAX_WAITING_PARTS => {
                if queue.requests.is_empty() {
                    queue.first_queued_at = now;
                }
                queue.requests.push(request);
            }
            None => {}
        }
    }
}
