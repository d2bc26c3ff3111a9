//! Values by flow, in sorted shards.

use hyssopstair_wire::carried::FlowKey;

use crate::ranking::hash_flow;

/// Sorted vectors that the flows are spread over, so that inserting moves little.
const SHARDS: usize = 256;

/// Values by flow.
#[derive(Debug)]
pub struct FlowTable<V> {
    shards: Vec<Vec<(FlowKey, V)>>,
    cursor: usize,
    length: usize,
}

impl<V> Default for FlowTable<V> {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Vec::new()).collect(),
            cursor: 0,
            length: 0,
        }
    }
}

impl<V> FlowTable<V> {
    /// Returns how many flows there are.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the value of a flow.
    pub fn get(&self, flow: &FlowKey) -> Option<&V> {
        let shard = &self.shards[shard_of(flow)];
        let index = find(shard, flow).ok()?;
        Some(&shard[index].1)
    }

    /// Returns the value of a flow, to be changed.
    pub fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut V> {
        let shard = &mut self.shards[shard_of(flow)];
        let index = find(shard, flow).ok()?;
        Some(&mut shard[index].1)
    }

    /// Sets the value of a flow and returns the one before.
    pub fn insert(&mut self, flow: FlowKey, value: V) -> Option<V> {
        let shard = &mut self.shards[shard_of(&flow)];
        match find(shard, &flow) {
            Ok(index) => Some(std::mem::replace(&mut shard[index].1, value)),
            Err(index) => {
                shard.insert(index, (flow, value));
                self.length += 1;
                None
            }
        }
    }

    /// Removes a flow and returns its value.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<V> {
        let shard = &mut self.shards[shard_of(flow)];
        let index = find(shard, flow).ok()?;
        self.length -= 1;
        Some(shard.remove(index).1)
    }

    /// Visits all flows.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.shards
            .iter()
            .flatten()
            .map(|(flow, value)| (flow, value))
    }

    /// Visits all flows, to change their values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&FlowKey, &mut V)> {
        self.shards
            .iter_mut()
            .flatten()
            .map(|(flow, value)| (&*flow, value))
    }

    /// Drops what `keep` refuses from the next `shards` shards, so that a whole
    /// pass over a large table is spread over many calls.
    pub fn sweep(&mut self, shards: usize, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        for _ in 0..shards.min(SHARDS) {
            let shard = &mut self.shards[self.cursor];
            let before = shard.len();
            shard.retain_mut(|(flow, value)| keep(flow, value));
            self.length -= before - shard.len();
            self.cursor = (self.cursor + 1) % SHARDS;
        }
    }
}

fn shard_of(flow: &FlowKey) -> usize {
    hash_flow(flow) as usize % SHARDS
}

fn find<V>(shard: &[(FlowKey, V)], flow: &FlowKey) -> Result<usize, usize> {
    shard.binary_search_by_key(flow, |(key, _)| *key)
}
