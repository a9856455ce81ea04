//! Signal handling. Signal handlers write to pipes, which the event loop reads.

use crate::connection_token::ConnectionToken;
use crate::context::{Context, DescriptorKind};
use rustix::event::epoll::EventFlags;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::ffi::c_int;
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// Maximum number of signals taken by one `read` of a pipe; each signal is one byte.
const SIGNALS_PER_READ: usize = 64;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalKind {
    /// Shut down gracefully (SIGTERM, SIGINT).
    Shutdown,
    /// Reload the configuration (SIGHUP).
    Reload,
}

/// The read end of a pipe to which signal handlers write.
struct SignalPipe {
    /// Token by which the poller reports the pipe.
    token: ConnectionToken,
    /// The read end.
    stream: UnixStream,
    /// The action that the signals of this pipe request.
    kind: SignalKind,
}

/// The pipes for all signals that the gateway handles.
#[derive(Default)]
pub(super) struct SignalPipes {
    /// One pipe for each [`SignalKind`].
    pipes: Vec<SignalPipe>,
}

impl SignalPipes {
    /// Installs the handlers of all signals that the gateway handles.
    pub(super) fn register(&mut self, context: &mut Context) -> io::Result<()> {
        self.register_kind(SignalKind::Shutdown, &[SIGTERM, SIGINT], context)?;
        self.register_kind(SignalKind::Reload, &[SIGHUP], context)
    }

    /// Creates the pipe for the signals of one kind, and registers it with the poller.
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
        let token = context.register(&stream, DescriptorKind::Signal, EventFlags::IN)?;
        self.pipes.push(SignalPipe {
            token,
            stream,
            kind,
        });
        Ok(())
    }

    /// Empties the pipe with this token, and returns the action that its signals request. Several
    /// pending signals request the action once.
    pub(super) fn read_signals(&mut self, token: ConnectionToken) -> Option<SignalKind> {
        let pipe = self.pipes.iter_mut().find(|pipe| pipe.token == token)?;
        // Each byte is one signal; their number does not matter.
        while pipe
            .stream
            .read(&mut [0; SIGNALS_PER_READ])
            .is_ok_and(|count| count > 0)
        {}
        Some(pipe.kind)
    }
}
