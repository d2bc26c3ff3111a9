//! A map from flows to values, kept in sorted shards.
//!
//! A sweep visits a few shards at a time, so that removing expired entries from a large
//! table does not delay packets.

use hyssopstair_wire::carried::FlowKey;

use crate::ranking::hash_flow;

/// Number of sorted vectors that the flows are spread over, so that an insertion moves
/// few entries.
const SHARD_COUNT: usize = 256;

/// A map from flows to values.
#[derive(Debug)]
pub struct FlowTable<V> {
    shards: Vec<Vec<(FlowKey, V)>>,
    sweep_cursor: usize,
    length: usize,
}

impl<V> Default for FlowTable<V> {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT).map(|_| Vec::new()).collect(),
            sweep_cursor: 0,
            length: 0,
        }
    }
}

impl<V> FlowTable<V> {
    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the value of a flow, if there is one.
    pub fn get(&self, flow: &FlowKey) -> Option<&V> {
        let shard = &self.shards[shard_of(flow)];
        let index = find_flow(shard, flow).ok()?;
        Some(&shard[index].1)
    }

    /// Returns a mutable reference to the value of a flow, if there is one.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut V> {
        let shard = &mut self.shards[shard_of(flow)];
        let index = find_flow(shard, flow).ok()?;
        Some(&mut shard[index].1)
    }

    /// Sets the value of a flow, and returns the previous value.
    pub fn insert(&mut self, flow: FlowKey, value: V) -> Option<V> {
        let shard = &mut self.shards[shard_of(&flow)];
        match find_flow(shard, &flow) {
            Ok(index) => Some(std::mem::replace(&mut shard[index].1, value)),
            Err(index) => {
                shard.insert(index, (flow, value));
                self.length += 1;
                None
            }
        }
    }

    /// Removes a flow, and returns its value.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<V> {
        let shard = &mut self.shards[shard_of(flow)];
        let index = find_flow(shard, flow).ok()?;
        self.length -= 1;
        Some(shard.remove(index).1)
    }

    /// Iterates over all flows and their values, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.shards
            .iter()
            .flatten()
            .map(|(flow, value)| (flow, value))
    }

    /// Iterates over all flows and mutable references to their values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&FlowKey, &mut V)> {
        self.shards
            .iter_mut()
            .flatten()
            .map(|(flow, value)| (&*flow, value))
    }

    /// Removes the entries for which `keep` returns false from the next `shard_count`
    /// shards. Each call continues where the previous one ended, so that a pass over a large
    /// table is spread over many calls.
    pub fn sweep(&mut self, shard_count: usize, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        for _ in 0..shard_count.min(SHARD_COUNT) {
            let shard = &mut self.shards[self.sweep_cursor];
            let old_length = shard.len();
            shard.retain_mut(|(flow, value)| keep(flow, value));
            self.length -= old_length - shard.len();
            self.sweep_cursor = (self.sweep_cursor + 1) % SHARD_COUNT;
        }
    }
}

fn shard_of(flow: &FlowKey) -> usize {
    hash_flow(flow) as usize % SHARD_COUNT
}

fn find_flow<V>(shard: &[(FlowKey, V)], flow: &FlowKey) -> Result<usize, usize> {
    shard.binary_search_by_key(flow, |(key, _)| *key)
}
