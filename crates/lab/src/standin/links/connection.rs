//! Connections of one link, from their acceptance to their end.
//!
//! A proxy accepts before it knows whether the target would. Processes take a refused connection
//! as proof that nobody listens, so a link whose target refuses closes its own listener until the
//! target accepts again; only the connection that found out is reset instead.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::fault::Direction;
use super::link::Link;
use super::pump;

/// Time between two looks for a target that refused.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Time to wait after a failed accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes that a connection may send before it is set up, at most.
const EARLY_BYTES: usize = 64 * 1024;

/// Accepts the connections of a link.
pub async fn accept(link: Arc<Link>, mut listener: TcpListener) {
    let refused = Arc::new(Notify::new());
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(&link, stream, &refused),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            () = refused.notified() => {
                drop(listener);
                listener = refuse(&link).await;
            }
        }
    }
}

fn admit(link: &Arc<Link>, stream: TcpStream, refused: &Arc<Notify>) {
    if link.resets_new() {
        let _ = stream.set_zero_linger();
        return;
    }
    let link = Arc::clone(link);
    let refused = Arc::clone(refused);
    tokio::spawn(async move {
        if let Err(error) = serve(&link, stream, &refused).await {
            log::debug!(
                "event=connection-ended link={} error=\"{error}\"",
                link.name
            );
        }
    });
}

/// Keeps the address closed until the target accepts, or the link is cut and must be silent.
async fn refuse(link: &Link) -> TcpListener {
    log::info!("event=target-refused link={}", link.name);
    loop {
        tokio::time::sleep(PROBE_PAUSE).await;
        if !link.is_cut() && dial(link).await.is_err() {
            continue;
        }
        match TcpListener::bind(link.listen).await {
            Ok(listener) => return listener,
            Err(error) => log::warn!("event=bind-failed link={} error=\"{error}\"", link.name),
        }
    }
}

/// Carries one connection until it ends or is reset on order.
async fn serve(link: &Link, mut near: TcpStream, refused: &Notify) -> io::Result<()> {
    let mut resets = link.resets();
    let Some(first) = early(link, &mut near).await? else {
        return Ok(());
    };
    let mut far = match dial(link).await {
        Ok(far) => far,
        Err(error) => {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                refused.notify_one();
            }
            let _ = near.set_zero_linger();
            return Err(error);
        }
    };
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let result = tokio::select! {
        result = carry(link, first, &mut near, &mut far) => result,
        _ = resets.changed() => Err(io::Error::other("reset on order")),
    };
    if result.is_err() {
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
    result
}

/// Connects to the target.
///
/// A dial to a closed port of this machine that is also the port dialled from connects to itself;
/// that is a refusal.
async fn dial(link: &Link) -> io::Result<TcpStream> {
    let far = TcpStream::connect(link.target).await?;
    if far.local_addr()? == link.target {
        let _ = far.set_zero_linger();
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(far)
}

/// Carries both directions until both end or one fails.
async fn carry(
    link: &Link,
    first: Bytes,
    near: &mut TcpStream,
    far: &mut TcpStream,
) -> io::Result<()> {
    let (near_in, near_out) = near.split();
    let (far_in, far_out) = far.split();
    let forward = pump::carry(link, Direction::Forward, first, near_in, far_out);
    let back = pump::carry(link, Direction::Back, Bytes::new(), far_in, near_out);
    tokio::try_join!(forward, back).map(|_| ())
}

/// Waits until the link is open, and returns what the connection sent meanwhile.
///
/// `None` when it was closed before: it would never have been set up.
async fn early(link: &Link, near: &mut TcpStream) -> io::Result<Option<Bytes>> {
    let mut bytes = BytesMut::new();
    let open = link.open_both();
    tokio::pin!(open);
    loop {
        let room = bytes.len() < EARLY_BYTES;
        tokio::select! {
            biased;
            () = &mut open => return Ok(Some(bytes.freeze())),
            read = near.read_buf(&mut bytes), if room => {
                if read? == 0 {
                    return Ok(None);
                }
            }
        }
    }
}
