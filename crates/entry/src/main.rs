//! Program `pumicevale-entry`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = entry::args::args().run();
    util::cli::exit(entry::Entry::main(args))
}
