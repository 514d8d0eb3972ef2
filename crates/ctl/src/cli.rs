//! Runs `tarragonctl` on the process's arguments and standard output.

use std::ffi::OsStr;
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;

use tarragon_model::settings;
use tarragon_store::client::{Client as StoreClient, DEFAULT_TIMEOUT};
use tokio_util::sync::CancellationToken;

use crate::args::{self, STORE_VARIABLE};
use crate::command::{Command, Invocation, Options};
use crate::error::{Error, FAILED};
use crate::http::Client as HostClient;
use crate::run::{Context, run as run_command};
use crate::usage;

/// Maximum time to wait for a response of a host.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the program with `args`, without the program's name, and returns its exit code.
#[must_use]
pub fn run<A: AsRef<OsStr>>(args: &[A]) -> ExitCode {
    // Ignores the error: a test or another program in this process may have set a logger already.
    let _ = env_logger::try_init();
    let store = std::env::var(STORE_VARIABLE).ok();
    let result = args::parse(args, store.as_deref())
        .map_err(Error::from)
        .and_then(|invocation| invoke(&invocation));
    match result {
        Ok(code) => ExitCode::from(code),
        Err(Error::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonctl: {error}");
            ExitCode::from(&error)
        }
    }
}

fn invoke(invocation: &Invocation) -> Result<u8, Error> {
    match invocation {
        Invocation::Help => print(usage::TEXT),
        Invocation::Version => print(concat!("tarragonctl ", env!("CARGO_PKG_VERSION"), "\n")),
        Invocation::CheckConfig(path) => {
            settings::load_config(path)?;
            print(&format!("{}: correct\n", path.display()))
        }
        Invocation::Run(command, options) => execute(command, options),
    }
}

fn print(text: &str) -> Result<u8, Error> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(0)
}

fn execute(command: &Command, options: &Options) -> Result<u8, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let cancel = CancellationToken::new();
    runtime.block_on(async {
        let store = StoreClient::new(options.store, DEFAULT_TIMEOUT.min(options.timeout))?;
        let hosts = HostClient::new(HOST_TIMEOUT.min(options.timeout))?;
        tokio::spawn(cancel_on_interrupt(cancel.clone()));
        let context = Context {
            store: &store,
            hosts: &hosts,
            options,
            cancel,
        };
        run_command(&context, command, &mut io::stdout()).await
    })
}

async fn cancel_on_interrupt(cancel: CancellationToken) {
    if tokio::signal::ctrl_c().await.is_ok() {
        cancel.cancel();
        // A second interrupt exits at once if the command has not finished by then.
        if tokio::signal::ctrl_c().await.is_ok() {
            std::process::exit(i32::from(FAILED));
        }
    }
}
