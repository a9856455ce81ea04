//! Signals, which reach the event loop through pipes.

use super::{Connection, Context};
use rustix::event::epoll::EventFlags;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::ffi::c_int;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalKind {
    /// A graceful shutdown: SIGTERM, SIGINT.
    Shutdown,
    /// A reload of the configuration: SIGHUP.
    Reload,
}

/// The end of a pipe that becomes readable when a signal arrives.
pub(crate) struct SignalPipe {
    stream: UnixStream,
    /// The meaning of the signals that this pipe reports.
    pub(super) kind: SignalKind,
}

impl SignalPipe {
    /// Reads all bytes out of the pipe; each stands for one signal.
    pub(super) fn drain(&mut self) {
        while self.stream.read(&mut [0; 64]).is_ok_and(|count| count > 0) {}
    }
}

/// Registers the signals that the gateway handles.
pub(super) fn register_signals(context: &mut Context) -> io::Result<()> {
    register(SignalKind::Shutdown, &[SIGTERM, SIGINT], context)?;
    register(SignalKind::Reload, &[SIGHUP], context)
}

/// Creates the pipe for signals of one kind, and registers it with the poller.
fn register(kind: SignalKind, signals: &[c_int], context: &mut Context) -> io::Result<()> {
    let (stream, writer) = UnixStream::pair()?;
    stream.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    let token = context.connections.reserve();
    context.poller.register(&stream, token, EventFlags::IN)?;
    context
        .connections
        .put(token, Connection::Signal(SignalPipe { stream, kind }));
    Ok(())
}
