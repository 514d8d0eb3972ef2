//! Blocks of loopback ports, claimed so that concurrent runs do not use the same ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::error::{Error, Result};

/// First port of the first block.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in a block.
const BLOCK_PORTS: u16 = 1_800;
/// Number of blocks; all of them end below the ephemeral port range.
const BLOCKS: u16 = 12;

/// Block of ports that is reserved until this is dropped.
#[derive(Debug)]
pub struct Block {
    /// Listener on the first port of the block, which reserves the block.
    _claim: TcpListener,
    next: u16,
    end: u16,
}

impl Block {
    /// Claims a free block.
    ///
    /// # Errors
    ///
    /// Fails when all blocks are in use.
    pub fn claim() -> Result<Self> {
        let bases = (0..BLOCKS).map(|at| FIRST_PORT + at * BLOCK_PORTS);
        let claim = |base| Some((base, TcpListener::bind(loopback(base)).ok()?));
        let (base, claim) = bases.into_iter().find_map(claim).ok_or_else(exhausted)?;
        Ok(Self {
            _claim: claim,
            next: base + 1,
            end: base + BLOCK_PORTS,
        })
    }

    /// Returns the next address of the block on which nothing listens.
    ///
    /// # Errors
    ///
    /// Fails when the block is used up.
    pub fn addr(&mut self) -> Result<SocketAddr> {
        while self.next < self.end {
            let addr = loopback(self.next);
            self.next += 1;
            if TcpListener::bind(addr).is_ok() {
                return Ok(addr);
            }
        }
        Err(exhausted())
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn exhausted() -> Error {
    let source = std::io::Error::from(std::io::ErrorKind::AddrInUse);
    crate::error::io("claim-ports", "127.0.0.1")(source)
}
