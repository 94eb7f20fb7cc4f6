//! Steps of the proxy that serves reads.

use crate::config::Extra;
use crate::next::Expansion;
use crate::property;
use crate::state;
use crate::step;

impl Expansion<'_> {
    /// Adds the probes and the arrival of the read.
    pub fn add_reads(&mut self) {
        let now = u8::from(self.state.reader.read_arrived);
        for index in step::indices() {
            let answer = state::Answer {
                index,
                view: self.rules.reader_view(self.view(index)),
                started: now,
            };
            self.add_probe(step::Step::Probe { index }, answer);
            if self.config.includes(Extra::SlowProbes) {
                self.add(step::Step::ProbeSlow { index }, |after| {
                    after.reader.late_answer = Some(answer);
                });
            }
        }
        if let Some(answer) = self.state.reader.late_answer {
            self.add_probe(step::Step::ProbeArrives, answer);
        }
        self.add_read();
    }

    fn add_probe(&mut self, step: step::Step, answer: state::Answer) {
        let sample = state::Sample {
            view: answer.view,
            started: answer.started,
            finished: u8::from(self.state.reader.read_arrived),
        };
        let mut reader = self.state.reader;
        self.rules
            .record_answer(&mut reader, answer.index.into(), sample);
        if step == step::Step::ProbeArrives {
            reader.late_answer = None;
        }
        self.add(step, |after| after.reader = reader);
    }

    /// Adds the arrival of the read. It is left out while no write is confirmed, as it could
    /// not miss any.
    fn add_read(&mut self) {
        let required_writes = self
            .state
            .confirmed()
            .map(|(write, _)| property::write_bit(write))
            .sum();
        if self.state.reader.read_arrived || required_writes == 0 {
            return;
        }
        self.add(step::Step::Read, |after| {
            after.reader.read_arrived = true;
            after.reader.required_writes = required_writes;
        });
    }
}
