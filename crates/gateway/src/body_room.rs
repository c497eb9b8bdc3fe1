//! Bodies of upstreams' answers to the host's own questions, which no caller's account bounds.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{cell::RefCell, rc::Rc};
use vanetally_admission::{Share, SharedRoom};

/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 512 << 10;
/// Share of the process's memory that the beginnings of all bodies may take, and the rest of them, as a divisor.
const MEMORY_DIVISOR: u64 = 32;
/// The same if the memory is not stated.
const DEFAULT_BYTES: usize = 8 << 20;

/// Room for the bodies that are read at the same time.
#[derive(Clone, Debug)]
pub(crate) struct BodyRoom(Rc<RefCell<SharedRoom>>);

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is longer than any that is expected.
    #[error("the body is too long")]
    TooLong,
    /// Other bodies take all the room.
    #[error("no room for the body")]
    NoRoom,
    /// The connection failed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// A part of the room, until dropped.
struct Part {
    room: BodyRoom,
    share: Share,
}

impl BodyRoom {
    /// Creates the room of a process that may use `memory_bytes`, if stated.
    pub(crate) fn new(memory_bytes: Option<u64>) -> Self {
        let by_memory = |bytes: u64| (bytes / MEMORY_DIVISOR) as usize;
        let room = SharedRoom::new(memory_bytes.map_or(DEFAULT_BYTES, by_memory));
        Self(Rc::new(RefCell::new(room)))
    }

    /// Reads a body to its end.
    pub(crate) async fn read(&self, mut body: Incoming) -> Result<Bytes, Error> {
        let mut bytes = BytesMut::new();
        let mut part = Part { room: self.clone(), share: Share::default() };
        while let Some(frame) = body.frame().await {
            let data = frame?.into_data().unwrap_or_default();
            part.grow_to(bytes.len() + data.len())?;
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

impl Part {
    /// Takes room for a body that has `length` bytes now.
    fn grow_to(&mut self, length: usize) -> Result<(), Error> {
        if length > MAX_BODY_BYTES {
            return Err(Error::TooLong);
        }
        // The buffer may have twice the capacity.
        let has_room = self.room.0.borrow_mut().grow(&mut self.share, 2 * length);
        has_room.then_some(()).ok_or(Error::NoRoom)
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.room.0.borrow_mut().release(self.share);
    }
}
