//! Program `pumicevale-dev`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = dev::args::args().run();
    util::cli::exit(dev::run(args))
}
