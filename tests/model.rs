//! Exhaustive model check of the core protocol, run on the production decision code.
//!
//! `docs/MODEL.md` describes the scope of the model. Each test prints the number of states
//! visited, the depth and whether the state space was exhausted; run
//! `cargo test --test model -- --nocapture` to see these figures.

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
