//! Exhaustive check of the core protocol over the real decision code.
//!
//! `docs/MODEL.md` says what is modelled and what is not. Each test prints the
//! states explored, the depth and whether the space was exhausted; run with
//! `cargo test --test model -- --nocapture` to see them.

#[path = "model/broken.rs"]
mod broken;
#[path = "model/claims.rs"]
mod claims;
#[path = "model/config.rs"]
mod config;
#[path = "model/instance.rs"]
mod instance;
#[path = "model/log.rs"]
mod log;
#[path = "model/mutation.rs"]
mod mutation;
#[path = "model/next.rs"]
mod next;
#[path = "model/promotion.rs"]
mod promotion;
#[path = "model/property.rs"]
mod property;
#[path = "model/reading.rs"]
mod reading;
#[path = "model/rules.rs"]
mod rules;
#[path = "model/search.rs"]
mod search;
#[path = "model/sound.rs"]
mod sound;
#[path = "model/state.rs"]
mod state;
#[path = "model/step.rs"]
mod step;
