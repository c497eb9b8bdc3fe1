//! Assigns the times at which many hosts may send prompts to the same engine.
//!
//! An engine reads prompts between the tokens of the streams that it runs. Prompts that arrive
//! together delay all of these streams, and hosts that decide independently send together, since
//! all of them see the same idle engine. So one host, the engine's *pacer*, assigns send slots for
//! it: [`Pacer`] spaces prompts like a leaky bucket and holds them back from an engine that breaks
//! requests off. [`Pacers`] selects that host. Correctness does not depend on all hosts selecting
//! the same one: a pacer that does not answer causes longer pauses in streams, but no request
//! fails.
//!
//! The crate holds state machines only: the caller supplies the time and does all I/O.
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
