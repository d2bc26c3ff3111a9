//! Saved flows in the platform's store of the simulation.

use std::net::Ipv4Addr;

use hyssopstair_flows::balancer::SaveRequest;
use hyssopstair_flows::saved_flows::SavedFlowList;
use hyssopstair_flows::saved_flows::combine_parts;
use rand::RngExt;

use crate::model::world::Event;
use crate::model::world::ProcessRole;
use crate::model::world::World;

/// Minimum time in which the platform's store answers, in microseconds.
const STORE_DELAY_MICROS: u64 = 5_000;

/// Maximum time in which the platform's store answers, in microseconds.
const MAX_STORE_DELAY_MICROS: u64 = 1_500_000;

impl World {
    /// Schedules the arrival of the flows that the former process of a host has saved. Does
    /// nothing if there are none, for example for a balancer.
    pub(super) fn schedule_saved_flows(&mut self, address: Ipv4Addr) {
        let parts = self
            .saved_flows
            .range((address, u8::MIN)..=(address, u8::MAX))
            .filter_map(|(_, encoded_part)| SavedFlowList::decode(encoded_part).ok());
        if let Some(list) = combine_parts(parts.collect()) {
            let delay = self.draw_store_delay();
            self.schedule(self.now + delay, Event::ReadSavedFlows { address, list });
        }
    }

    /// Draws the time until the platform's store answers, in microseconds.
    pub(super) fn draw_store_delay(&mut self) -> u64 {
        self.random
            .random_range(STORE_DELAY_MICROS..MAX_STORE_DELAY_MICROS)
    }

    /// Saves lists of open flows, and confirms them if their balancer still runs.
    pub(super) fn complete_saves(&mut self, balancer: Ipv4Addr, saves: Vec<SaveRequest>) {
        self.update_process(balancer, |role, outbox| {
            if let ProcessRole::Balancer(balancer) = role {
                for save in &saves {
                    balancer.confirm_save(save.host, save.number, outbox);
                }
            }
        });
        for save in saves {
            self.save_history.push((self.now, save.clone()));
            self.saved_flows
                .insert((save.host, save.part), save.encoded_part);
        }
    }

    /// Brings the store back from a copy of this age, in the next era.
    pub(super) fn restore_store(&mut self, age_millis: u64) {
        let copied_at = self.now.saturating_sub(age_millis * 1_000);
        self.save_history
            .retain(|(saved_at, _)| *saved_at <= copied_at);
        self.saved_flows = self
            .save_history
            .iter()
            .map(|(_, save)| ((save.host, save.part), save.encoded_part.clone()))
            .collect();
        self.store_era += 1;
        let all: Vec<Ipv4Addr> = self.processes.keys().copied().collect();
        for (number, address) in all.into_iter().enumerate() {
            let delay = STORE_DELAY_MICROS * (1 + number as u64);
            self.schedule(self.now + delay, Event::LearnEra(address));
        }
    }

    /// Tells the era of the store to a balancer. Hosts hear of it from balancers.
    pub(super) fn tell_era(&mut self, address: Ipv4Addr) {
        let era = self.store_era;
        self.update_process(address, |role, outbox| {
            if let ProcessRole::Balancer(balancer) = role {
                balancer.record_store_era(Some(era), outbox);
            }
        });
    }

    /// Delivers the flows that the former process of a host has saved.
    pub(super) fn receive_saved_flows(&mut self, address: Ipv4Addr, list: SavedFlowList) {
        let now = self.time();
        self.update_process(address, |role, outbox| {
            if let ProcessRole::Host(host) = role {
                host.receive_former_flows(list, now, outbox);
            }
        });
    }
}
