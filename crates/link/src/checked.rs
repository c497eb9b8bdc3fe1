//! Connections of the HTTP client: what they bring is checked before the library reads it.

use std::io;
use ureq::{
    Error,
    unversioned::transport::{Buffers, ConnectionDetails, Connector, NextTimeout, Transport},
};
use vanetally_answer::{AnswerReader, Malformed};

/// Checks the answers on the connections of another connector.
#[derive(Debug, Default)]
pub(crate) struct CheckedConnector;

impl<T: Transport> Connector<T> for CheckedConnector {
    type Out = Checked<T>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<T>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| Checked { inner, answers: AnswerReader::default() }))
    }
}

/// A connection that fails where bytes are no answer.
#[derive(Debug)]
pub(crate) struct Checked<T> {
    inner: T,
    answers: AnswerReader,
}

impl<T: Transport> Transport for Checked<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.answers.sent(&self.inner.buffers().output()[..amount]);
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let known = self.inner.buffers().input().len();
        let has_more = self.inner.await_input(timeout)?;
        self.answers.read(&self.inner.buffers().input()[known..]);
        match self.answers.malformed() {
            // The answer before them is whole; its connection is not used again.
            None | Some(Malformed::Surplus) => Ok(has_more),
            Some(malformed) => {
                Err(Error::Io(io::Error::new(io::ErrorKind::InvalidData, malformed)))
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.answers.is_idle() && self.inner.is_open()
    }
}
