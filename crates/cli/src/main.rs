//! Program `pumicevale`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = cli::args::args().run();
    util::cli::exit(cli::cmd::run(args))
}
