//! Signals, which reach the event loop through pipes.

use crate::connection_token::ConnectionToken;
use crate::context::{ConnectionKind, Context};
use rustix::event::epoll::EventFlags;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::ffi::c_int;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// How many signals, one byte each, one read takes from a pipe.
const SIGNALS_PER_READ: usize = 64;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalKind {
    /// A graceful shutdown: SIGTERM, SIGINT.
    Shutdown,
    /// A reload of the configuration: SIGHUP.
    Reload,
}

/// The end of a pipe that becomes readable when a signal arrives.
struct SignalPipe {
    /// Token of the pipe.
    token: ConnectionToken,
    /// The end that is read.
    stream: UnixStream,
    /// The meaning of the signals that this pipe reports.
    kind: SignalKind,
}

/// The pipes of all signals that the gateway handles.
#[derive(Default)]
pub(super) struct SignalPipes {
    /// A pipe for each signal.
    pipes: Vec<SignalPipe>,
}

impl SignalPipes {
    /// Registers the signals that the gateway handles.
    pub(super) fn register(&mut self, context: &mut Context) -> io::Result<()> {
        self.register_kind(SignalKind::Shutdown, &[SIGTERM, SIGINT], context)?;
        self.register_kind(SignalKind::Reload, &[SIGHUP], context)
    }

    /// Creates the pipe for signals of one kind, and registers it with the poller.
    fn register_kind(
        &mut self,
        kind: SignalKind,
        signals: &[c_int],
        context: &mut Context,
    ) -> io::Result<()> {
        let (stream, writer) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        for signal in signals {
            signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
        }
        let token = context.register(&stream, ConnectionKind::Signal, EventFlags::IN)?;
        self.pipes.push(SignalPipe {
            token,
            stream,
            kind,
        });
        Ok(())
    }

    /// Empties the pipe with this token, and returns what its signals ask for.
    pub(super) fn read_signals(&mut self, token: ConnectionToken) -> Option<SignalKind> {
        let pipe = self.pipes.iter_mut().find(|pipe| pipe.token == token)?;
        // Each byte stands for one signal.
        while pipe
            .stream
            .read(&mut [0; SIGNALS_PER_READ])
            .is_ok_and(|count| count > 0)
        {}
        Some(pipe.kind)
    }
}
