//! Program `pumicevale-standin`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = standin::args::args().run();
    util::cli::exit(standin::run::main(args))
}
