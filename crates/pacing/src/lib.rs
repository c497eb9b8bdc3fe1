//! When a prompt may be sent to an engine that many hosts send to.
//!
//! An engine reads prompts between the tokens of the streams that it runs. Prompts that arrive
//! together hold up all of these streams, and hosts that decide for themselves send together: all see
//! the same idle engine. So one host at a time, the engine's *pacer*, gives out the moments for it:
//! [`Pacer`] spaces prompts like a leaky bucket, and keeps them off an engine that breaks them off.
//! [`Pacers`] says which host that is. Nothing rests on
//! the agreement: a pacer that does not answer costs pauses, never an answer.
#![deny(missing_docs, unsafe_code)]

mod breaker;
mod bucket;
mod pacer;
mod pacers;
mod prefixes;

pub use breaker::BreakerTransition;
pub use pacer::{Pacer, Prompt, SendSlot, SlotReply};
pub use pacers::Pacers;
pub use prefixes::{Prefix, PrefixCache};
