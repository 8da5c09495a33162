//! The command line of the lab.

mod cli;
mod commands;
mod real;
mod returns;
mod tables;

use clap::Parser;
use cli::Cli;
use std::process::ExitCode;

fn main() -> ExitCode {
    let listens = indigohold_lab::sockets::end_on_signals().map_err(|e| e.to_string());
    match listens.and_then(|()| commands::run(Cli::parse().command)) {
        Ok(code) => code,
        Err(words) => {
            eprintln!("lab: {words}");
            ExitCode::from(2)
        }
    }
}
