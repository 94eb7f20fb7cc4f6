//! Steps of the proxy that serves reads.

use crate::config::Extra;
use crate::next::Next;
use crate::property;
use crate::state;
use crate::step;

impl Next<'_> {
    /// Probes, and the arrival of the read.
    pub fn reads(&mut self) {
        let now = u8::from(self.state.reader.arrived);
        for of in step::indices() {
            let kept = state::Kept {
                index: of,
                view: self.rules.sampled(self.view(of)),
                started: now,
            };
            self.probed(step::Step::Probe { of }, kept);
            if self.config.has(Extra::SlowProbes) {
                self.add(step::Step::ProbeSlow { of }, |after| {
                    after.reader.kept = Some(kept);
                });
            }
        }
        if let Some(kept) = self.state.reader.kept {
            self.probed(step::Step::ProbeArrives, kept);
        }
        self.read();
    }

    fn probed(&mut self, step: step::Step, kept: state::Kept) {
        let seen = state::Seen {
            view: kept.view,
            started: kept.started,
            finished: u8::from(self.state.reader.arrived),
        };
        let mut reader = self.state.reader;
        self.rules.answered(&mut reader, kept.index.into(), seen);
        if step == step::Step::ProbeArrives {
            reader.kept = None;
        }
        self.add(step, |after| after.reader = reader);
    }

    /// A read that is owed nothing cannot miss anything, so it is left out.
    fn read(&mut self) {
        let owed = self
            .state
            .confirmed()
            .map(|(write, _)| property::bit(write))
            .sum();
        if self.state.reader.arrived || owed == 0 {
            return;
        }
        self.add(step::Step::Read, |after| {
            after.reader.arrived = true;
            after.reader.owed = owed;
        });
    }
}
