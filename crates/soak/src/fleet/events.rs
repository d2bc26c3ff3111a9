//! Applies the events of a plan to the processes and stand-ins.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_stand_in::store::StoreFault;
use nix::sys::signal::Signal;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::fleet::SoakFleet;
use crate::network::INNER_BIND_PORT;
use crate::network::PACKET_PORT;
use crate::plan::ADDRESS_REUSE_DELAY;
use crate::plan::FIXED_SERVICE_HOSTS;
use crate::plan::SoakEvent;
use crate::program::ZONE_COUNT;
use crate::program::zone_of_process;
use crate::relay::ConnectionFault;
use crate::relay::LinkFaults;

/// Time for which a draining server keeps serving after its host was informed. It exceeds
/// the time for which a draining server must keep serving.
const DRAIN_STOP_DELAY: Duration = Duration::from_millis(4_000);

/// Offset by which the clock of a server is set back.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);

impl SoakFleet {
    /// Applies an event, whose effect ends after `duration`.
    pub fn apply_event(&self, event: SoakEvent, duration: Duration) {
        let now = Instant::now();
        match event {
            SoakEvent::Kill(index) => self.kill_process(index, now + duration),
            SoakEvent::Stop(index) => self.stop_process(index),
            SoakEvent::Pause(index) => self.pause_process(index, duration),
            SoakEvent::KillAll => self.kill_all_processes(now),
            SoakEvent::LosePower => {
                self.kill_all_processes(now);
                for host in 0..self.servers.len() {
                    self.replace_crashed_server(host, duration / 4, Duration::ZERO);
                }
            }
            SoakEvent::ReloadSettings(index, is_invalid) => {
                self.reload_settings(index, is_invalid, duration)
            }
            SoakEvent::CrashServer(host) => {
                self.replace_crashed_server(host, duration, Duration::ZERO)
            }
            SoakEvent::SetServerClockBack(host) => {
                self.replace_crashed_server(host, duration, CLOCK_OFFSET)
            }
            SoakEvent::ReplaceServer(host) => self.replace_server(host),
            SoakEvent::ReuseAddress(index) => self.reuse_address(index, duration),
            SoakEvent::LoseDatagrams(index) => {
                self.inject_link_fault(index, duration, |links, is_active| {
                    links.is_lossy = is_active
                });
            }
            SoakEvent::DelayDatagrams(index) => {
                self.inject_link_fault(index, duration, |links, is_active| {
                    links.is_delayed = is_active
                });
            }
            SoakEvent::DropOutgoing(index) => {
                self.inject_link_fault(index, duration, |links, is_active| {
                    links.drops_outgoing = is_active
                });
            }
            SoakEvent::DropIncoming(index) => {
                self.inject_link_fault(index, duration, |links, is_active| {
                    links.drops_incoming = is_active
                });
            }
            SoakEvent::SendRandomDatagrams(index) => self.send_random_datagrams(index),
            SoakEvent::SilenceStoreConnections(index) => {
                self.inject_connection_fault(index, duration, ConnectionFault::Silent);
            }
            SoakEvent::ResetStoreConnections(index) => {
                self.inject_connection_fault(index, duration, ConnectionFault::Reset);
            }
            SoakEvent::StoreDown => self.inject_store_fault(duration, StoreFault::Down),
            SoakEvent::StoreSlow => self.inject_store_fault(duration, StoreFault::Slow),
            SoakEvent::StoreLosesResponses => {
                self.inject_store_fault(duration, StoreFault::LosesResponses)
            }
            SoakEvent::CompactStore => {
                self.checker.borrow_mut().record_store_fault(now);
                self.store.compact_history();
            }
            SoakEvent::RestoreStore(age, change_count) => {
                self.restore_store(age, change_count, duration)
            }
            SoakEvent::WriteConfiguration => self.write_configuration(),
            SoakEvent::EvacuateZone(zone) => self.evacuate_zone(zone, duration),
            SoakEvent::ReplaceBuild(index, build) => {
                self.members.borrow_mut()[index].process.set_build(build);
                self.stop_process(index);
            }
        }
    }

    /// Empties a zone for a while, unless a service has no other hosts: its callers would rightly be
    /// refused.
    fn evacuate_zone(&self, zone: u8, duration: Duration) {
        let has_others = |service| !self.hosts_outside(zone, service).is_empty();
        if !["one", "two"].into_iter().all(has_others) {
            return;
        }
        *self.evacuated_zone.borrow_mut() = Some(zone);
        self.rewrite_evacuation();
        let fleet = self.clone();
        spawn_local(async move {
            sleep(duration).await;
            *fleet.evacuated_zone.borrow_mut() = None;
            fleet.rewrite_evacuation();
        });
    }

    /// Makes the operators' keys in the store name the emptied zone and no other, also if the
    /// store has lost them or has brought one back.
    fn rewrite_evacuation(&self) {
        let evacuated = *self.evacuated_zone.borrow();
        for zone in 0..ZONE_COUNT {
            let key = format!("op/evacuate/z{zone}");
            if Some(zone) == evacuated {
                self.store.write(&key, b"{}");
            } else {
                self.store.remove(&key);
            }
        }
        self.checker
            .borrow_mut()
            .record_evacuation(Instant::now(), evacuated);
    }

    /// Kills all processes and schedules their restarts at different times.
    fn kill_all_processes(&self, now: Instant) {
        let count = self.members.borrow().len();
        for index in 0..count {
            let delay_millis = self.random.borrow_mut().random_range(300..900);
            self.kill_process(index, now + Duration::from_millis(delay_millis));
        }
    }

    /// Pauses a process with SIGSTOP for `duration`. It is not resumed if it was restarted
    /// in the meantime.
    fn pause_process(&self, index: usize, duration: Duration) {
        let (address, incarnation) = self.send_signal(index, Signal::SIGSTOP);
        self.checker
            .borrow_mut()
            .record_fault(address, Instant::now() + duration);
        let fleet = self.clone();
        spawn_local(async move {
            sleep(duration).await;
            let is_current = fleet.members.borrow()[index].incarnation == incarnation;
            if is_current {
                fleet.send_signal(index, Signal::SIGCONT);
            }
        });
    }

    /// Writes the settings of a process and sends SIGHUP. Valid settings are restored after
    /// at most 150 ms.
    fn reload_settings(&self, index: usize, is_invalid: bool, duration: Duration) {
        self.write_settings(index, is_invalid);
        let (address, _) = self.send_signal(index, Signal::SIGHUP);
        self.checker
            .borrow_mut()
            .record_fault(address, Instant::now());
        let fleet = self.clone();
        spawn_local(async move {
            sleep(duration.min(Duration::from_millis(150))).await;
            fleet.write_settings(index, false);
        });
    }

    /// Writes the settings of a process, but no invalid ones if it may be about to start.
    fn write_settings(&self, index: usize, is_invalid: bool) {
        let members = self.members.borrow();
        let member = &members[index];
        // A process that is starting would read the invalid settings and rightly exit.
        if is_invalid && (!member.process.is_running() || member.stop_requested_at.is_some()) {
            return;
        }
        if let Err(error) = member.process.write_settings(is_invalid) {
            self.checker
                .borrow_mut()
                .record_finding(Instant::now(), &format!("{error}"));
        }
    }

    /// Crashes a server and starts a new one after `delay`.
    fn replace_crashed_server(&self, host: usize, delay: Duration, clock_offset: Duration) {
        self.servers[host].crash();
        let fleet = self.clone();
        spawn_local(async move {
            sleep(delay).await;
            fleet.start_server(host, clock_offset).await;
        });
    }

    /// Drains a server and starts a new one, possibly for the other service.
    fn replace_server(&self, host: usize) {
        let fleet = self.clone();
        spawn_local(async move {
            fleet.servers[host].drain(DRAIN_STOP_DELAY).await;
            // Another event may have started the next server already.
            let is_reassignable = host >= FIXED_SERVICE_HOSTS && !fleet.servers[host].is_running();
            if is_reassignable && fleet.random.borrow_mut().random_bool(0.5) {
                fleet.reassign_host(host).await;
            }
            fleet.start_server(host, Duration::ZERO).await;
        });
    }

    /// Stops a host and assigns its address to the other service, as when an instance is
    /// replaced.
    async fn reassign_host(&self, host: usize) {
        self.stop_process(self.balancer_count + host);
        self.change_service(host);
        sleep(ADDRESS_REUSE_DELAY).await;
    }

    /// Ends an instance without notice, and starts one of the other service at its address. The
    /// server starts `server_lag` after the host.
    fn reuse_address(&self, index: usize, server_lag: Duration) {
        let host = index - self.balancer_count;
        let restart_at = Instant::now() + ADDRESS_REUSE_DELAY;
        self.servers[host].crash();
        self.kill_process(index, restart_at);
        self.change_service(host);
        let fleet = self.clone();
        spawn_local(async move {
            sleep_until((restart_at + server_lag).into()).await;
            fleet.start_server(host, Duration::ZERO).await;
        });
    }

    /// Returns the hosts of a service outside a zone.
    fn hosts_outside(&self, zone: u8, service: &str) -> Vec<usize> {
        let members = self.members.borrow();
        (0..self.servers.len())
            .filter(|host| members[self.balancer_count + host].service == service)
            .filter(|host| zone_of_process(*host) != zone)
            .collect()
    }

    /// Assigns the address of an instance that ends now to the other service, unless a zone is
    /// emptied and no other host of its service is outside the zone.
    fn change_service(&self, host: usize) {
        let present_service = self.members.borrow()[self.balancer_count + host].service;
        let emptied_zone = *self.evacuated_zone.borrow();
        let is_needed = emptied_zone.is_some_and(|zone| {
            let others = self.hosts_outside(zone, present_service);
            others.iter().all(|other| *other == host)
        });
        if is_needed {
            return;
        }
        let service = {
            let member = &mut self.members.borrow_mut()[self.balancer_count + host];
            member.unavailable_until = Instant::now() + ADDRESS_REUSE_DELAY;
            if member.service == "one" {
                "two"
            } else {
                "one"
            }
        };
        self.set_service(host, service);
    }

    /// Sets a fault of the datagrams of a process for a while.
    fn inject_link_fault(
        &self,
        index: usize,
        duration: Duration,
        set_link_fault: impl Fn(&mut LinkFaults, bool) + 'static,
    ) {
        let address = self.members.borrow()[index].process.address;
        self.checker
            .borrow_mut()
            .record_fault(address, Instant::now() + duration);
        self.relay
            .update_link_faults(address, |links| set_link_fault(links, true));
        let relay = self.relay.clone();
        spawn_local(async move {
            sleep(duration).await;
            relay.update_link_faults(address, |links| set_link_fault(links, false));
        });
    }

    /// Sets a fault of the connections of a process to the store for a while.
    fn inject_connection_fault(&self, index: usize, duration: Duration, fault: ConnectionFault) {
        let address = self.members.borrow()[index].process.address;
        self.checker
            .borrow_mut()
            .record_store_fault(Instant::now() + duration);
        self.relay.set_store_fault(address, fault);
        let relay = self.relay.clone();
        spawn_local(async move {
            sleep(duration).await;
            relay.set_store_fault(address, ConnectionFault::None);
        });
    }

    /// Sets a fault of the store for a while.
    fn inject_store_fault(&self, duration: Duration, fault: StoreFault) {
        self.checker
            .borrow_mut()
            .record_store_fault(Instant::now() + duration);
        self.store.set_fault(fault);
        let store = self.store.clone();
        spawn_local(async move {
            sleep(duration).await;
            store.set_fault(StoreFault::None);
        });
    }

    /// Takes the store down and brings it back from a copy. The operators write the newest
    /// configuration again, or the next one, and others make changes.
    fn restore_store(&self, age: Duration, change_count: u8, down_time: Duration) {
        let now = Instant::now();
        let copy = {
            let copies = self.store_copies.borrow();
            let index = copies.partition_point(|(copied_at, _)| *copied_at + age <= now);
            copies
                .get(index.saturating_sub(1))
                .map(|(_, copy)| copy.clone())
        };
        let Some(copy) = copy else {
            return;
        };
        self.store_copies.borrow_mut().clear();
        self.inject_store_fault(down_time, StoreFault::Down);
        self.store.restore_copy(copy);
        if change_count.is_multiple_of(2) {
            self.rewrite_configuration();
        } else {
            self.write_configuration();
        }
        self.rewrite_evacuation();
        for number in 0..change_count {
            self.store.write("others/key", &[number]);
        }
    }

    /// Sends random datagrams to the ports of a process for messages and for packets.
    fn send_random_datagrams(&self, index: usize) {
        let address = self.members.borrow()[index].process.address;
        let mut random = self.random.borrow_mut();
        let datagrams: Vec<Vec<u8>> = (0..40)
            .map(|_| {
                let length = random.random_range(0..1_400);
                (0..length).map(|_| random.random::<u8>()).collect()
            })
            .collect();
        spawn_local(async move {
            // No process of the run has this address.
            let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await else {
                return;
            };
            for (number, bytes) in datagrams.iter().enumerate() {
                let port = if number % 2 == 0 {
                    INNER_BIND_PORT
                } else {
                    PACKET_PORT
                };
                // A random datagram carries no meaning, so it may be lost.
                let _ = socket.send_to(bytes, (address, port)).await;
            }
        });
    }
}
