//! The executable: parses the command line and runs the daemon or a command.

use clap::Parser;
use indigohold::admin::{client, AdminCommand};
use indigohold::cli::{ask, check, drain, register, replay, retention, Cli, Command};
use indigohold::{daemon, log};
use std::process::ExitCode;

/// Exit code if a file has faults or was not found.
const FAULTS: u8 = 2;

/// Exit code if the admin server refused the command.
const REFUSED: u8 = 3;

/// Sends a command to the admin server.
fn admin(cli: &Cli, command: &AdminCommand) -> ExitCode {
    match client::run(&cli.paths, command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(REFUSED),
        Err(e) => {
            eprintln!("indigohold: {e}");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        None | Some(Command::Run) => {
            log::start(cli.log_format, &cli.log).and_then(|()| daemon::run(&cli.paths))
        }
        Some(Command::Check) => {
            let faults = check::faults(&cli.paths);
            faults.iter().for_each(|fault| println!("{fault}"));
            if !faults.is_empty() {
                return ExitCode::from(FAULTS);
            }
            println!("no fault found");
            Ok(())
        }
        Some(Command::Status { socket, json }) => {
            return ExitCode::from(drain::status(&cli.paths.channel, socket, *json))
        }
        Some(Command::Ask { socket, words, json }) => {
            return ExitCode::from(ask::run(&cli.paths, socket, words, *json))
        }
        Some(Command::Drain { socket, what }) => {
            return ExitCode::from(drain::run(&cli.paths.channel, socket, what))
        }
        Some(Command::Retention { socket, what }) => {
            return ExitCode::from(retention::run(&cli.paths.channel, socket, what))
        }
        Some(Command::Replay { socket, what }) => {
            return ExitCode::from(replay::run(&cli.paths.channel, socket, what))
        }
        Some(Command::Ready) => return admin(&cli, &AdminCommand::Ready),
        Some(Command::Telemetry) => return admin(&cli, &AdminCommand::Telemetry),
        Some(Command::Exclude { id }) => return admin(&cli, &AdminCommand::Exclude(id.clone())),
        Some(Command::Include { id }) => return admin(&cli, &AdminCommand::Include(id.clone())),
        Some(Command::Register(what)) => match register::run(&cli.paths, what) {
            Ok(text) => {
                print!("{text}");
                Ok(())
            }
            Err(e) => {
                eprintln!("{e}");
                return ExitCode::from(FAULTS);
            }
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("indigohold: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
