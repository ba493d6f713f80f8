//! Runs the command given on the command line and prints its output.

use crate::args::{self, Invocation};
use tokio::task::LocalSet;
use yuccalink_operator::{Client, Error, Result, command, completions};

pub(crate) fn run() -> Result<()> {
    let invocation = args::parse(lexopt::Parser::from_env(), |name| std::env::var(name).ok())?;
    match invocation {
        Invocation::Help { long } => command::print(&args::help(long)),
        Invocation::Version => {
            command::print(concat!("yuccalink ", env!("CARGO_PKG_VERSION"), "\n"))
        }
        Invocation::Completions(shell) => command::print(&completions::script(shell)),
        Invocation::Run(settings, command) => {
            let client = Client::builder()
                .servers(settings.servers)
                .author(settings.author)
                .timeout(settings.timeout)
                .build();
            let output = block_on(command::run(&client, command))?;
            if settings.json {
                command::print(&format!("{:#}\n", output.json))
            } else {
                command::print(&output.text)
            }
        }
    }
}

fn block_on<F, T>(work: F) -> Result<T>
where
    F: Future<Output = Result<T>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::Output)?;
    LocalSet::new().block_on(&runtime, work)
}
