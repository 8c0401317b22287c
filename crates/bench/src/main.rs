//! Entry point of `pumicevale-bench`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = bench::args::args().run();
    util::cli::exit(bench::cmd::run(args))
}
