//! Periodic reports of the hosts to the granter.

use tarragon_dispatch::admission::Report;

use super::{Participant, Role};
use crate::peer::Frame;

impl Participant {
    /// Returns the report to the granter, and resets what it counts.
    pub(super) fn take_report(&self) -> Frame {
        let traffic = self.state.take_traffic().into_iter();
        let traffic = traffic.map(|(service, keys)| (service, keys.into_iter().collect()));
        let samples = self.state.fleet.borrow_mut().take_samples().into_iter();
        #[expect(
            clippy::cast_possible_truncation,
            reason = "milliseconds of a few requests"
        )]
        let served = samples.map(|(id, sample)| (id, sample.count, sample.sum_ms as f32));
        let heartbeat_us = match &self.role {
            Role::Following(followed) => followed.sent_us,
            _ => 0,
        };
        Frame::Report {
            heartbeat_us,
            cores: self.state.settings.cores,
            traffic: traffic.collect(),
            served: served.collect(),
            crashes: self.state.take_new_crashes(),
            clock_us: self.report_clock(),
            zone: self.state.settings.zone.clone(),
            overload: self.state.overload.take_report(&self.state),
        }
    }

    /// Applies a report; `crashes` goes on to all hosts.
    pub(super) fn apply_report(
        &mut self,
        traffic: &[(String, Vec<(u16, u32)>)],
        served: &[(String, u32, f32)],
        overload: &Report,
        crashes: Vec<(u64, String)>,
    ) {
        if let Role::Granting(elected) = &mut self.role {
            elected.grants.add_report(traffic, served);
            self.state.overload.record_report(elected.term.0, overload);
        }
        if !crashes.is_empty() {
            self.quarantine(&crashes);
            self.links.broadcast(&Frame::Crashes { crashes });
        }
    }
}
