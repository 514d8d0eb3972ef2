//! Accepts and relays the connections of one link.
//!
//! A proxy accepts a connection before it knows whether the target would. Processes take a refused
//! connection as proof that nothing listens there, so a link whose target refuses closes its own
//! listener until the target accepts again. Only the connection that discovered the refusal is
//! reset instead.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::fault::Direction;
use super::link::Link;
use super::relay;

/// Interval between connection attempts to a target that refused.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay after a failed accept, for example because too many files are open.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of bytes buffered from a connection while the link is cut.
const EARLY_BYTES: usize = 64 * 1024;

/// Accepts the connections of a link, forever.
pub async fn accept(link: Arc<Link>, mut listener: TcpListener) {
    let refused = Arc::new(Notify::new());
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(&link, stream, &refused),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = refused.notified() => {
                drop(listener);
                listener = wait_for_target(&link).await;
            }
        }
    }
}

fn admit(link: &Arc<Link>, stream: TcpStream, refused: &Arc<Notify>) {
    if link.resets_connections() {
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

/// Keeps the address closed until the target accepts or the link is cut, and listens again.
///
/// A cut link must not refuse connections, because a broken network path is silent.
async fn wait_for_target(link: &Link) -> TcpListener {
    log::info!("event=target-refused link={}", link.name);
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if !link.is_cut() && dial(link).await.is_err() {
            continue;
        }
        match TcpListener::bind(link.listen).await {
            Ok(listener) => return listener,
            Err(error) => log::warn!("event=bind-failed link={} error=\"{error}\"", link.name),
        }
    }
}

/// Relays one connection until it ends or an injected fault resets it.
async fn serve(link: &Link, mut inbound: TcpStream, refused: &Notify) -> io::Result<()> {
    let mut resets = link.resets();
    let Some(first) = read_until_open(link, &mut inbound).await? else {
        return Ok(());
    };
    let mut outbound = match dial(link).await {
        Ok(outbound) => outbound,
        Err(error) => {
            if error.kind() == io::ErrorKind::ConnectionRefused {
                refused.notify_one();
            }
            let _ = inbound.set_zero_linger();
            return Err(error);
        }
    };
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let result = tokio::select! {
        result = relay(link, first, &mut inbound, &mut outbound) => result,
        _ = resets.changed() => Err(io::Error::other("reset by an injected fault")),
    };
    if result.is_err() {
        let _ = inbound.set_zero_linger();
        let _ = outbound.set_zero_linger();
    }
    result
}

/// Connects to the target.
///
/// TCP connects a socket to itself when its ephemeral port equals the target's closed port on the
/// same machine; this counts as a refusal.
async fn dial(link: &Link) -> io::Result<TcpStream> {
    let outbound = TcpStream::connect(link.target).await?;
    if outbound.local_addr()? == link.target {
        let _ = outbound.set_zero_linger();
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    Ok(outbound)
}

/// Relays both directions until both end or one fails.
async fn relay(
    link: &Link,
    first: Bytes,
    inbound: &mut TcpStream,
    outbound: &mut TcpStream,
) -> io::Result<()> {
    let (inbound_read, inbound_write) = inbound.split();
    let (outbound_read, outbound_write) = outbound.split();
    let forward = relay::copy(
        link,
        Direction::Forward,
        first,
        inbound_read,
        outbound_write,
    );
    let back = relay::copy(
        link,
        Direction::Back,
        Bytes::new(),
        outbound_read,
        inbound_write,
    );
    tokio::try_join!(forward, back).map(|_| ())
}

/// Waits until the link is open, and returns the bytes that the connection sent meanwhile.
///
/// Returns `None` when the connection was closed before: over a real network it would never have
/// been established.
async fn read_until_open(link: &Link, inbound: &mut TcpStream) -> io::Result<Option<Bytes>> {
    let mut bytes = BytesMut::new();
    let open = link.wait_both_open();
    tokio::pin!(open);
    loop {
        let has_room = bytes.len() < EARLY_BYTES;
        tokio::select! {
            biased;
            () = &mut open => return Ok(Some(bytes.freeze())),
            read = inbound.read_buf(&mut bytes), if has_room => {
                if read? == 0 {
                    return Ok(None);
                }
            }
        }
    }
}
