//! Program `pumicevale-control`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = control::args::args().run();
    util::cli::exit(control::Control::main(args))
}
