//! Runs the decision engine for the simulator: reads batches of records from standard input and writes one reply for each
//! to standard output. It only translates between the wire format and the engine's types.

mod wire;

use indigohold::{Event, Micros, Sender};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Record, Reply, Tables};

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("indigohold-benchlink: {info}")));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("indigohold-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut instances = BTreeMap::new();
    let mut tables = Tables::new();
    while let Some(bytes) = read_frame(input)? {
        let (now, records) = wire::decode_batch(&bytes, &mut tables)?;
        let reply = process_batch(now, records, &mut instances)?;
        output
            .write_all(&reply.bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing: {e}"))?;
    }
    Ok(())
}

/// Reads the next frame, without its length field; `None` at the end of input. The buffer grows with the bytes received, not
/// with the announced length, so a wrong length can't exhaust the memory.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut length_field = Vec::new();
    input.by_ref().take(4).read_to_end(&mut length_field).map_err(|e| format!("reading: {e}"))?;
    let Ok(length_field) = <[u8; 4]>::try_from(&length_field[..]) else {
        return if length_field.is_empty() { Ok(None) } else { Err("input ends inside a length".into()) };
    };
    let len = u32::from_be_bytes(length_field);
    let mut body = Vec::new();
    input.by_ref().take(u64::from(len)).read_to_end(&mut body).map_err(|e| format!("reading: {e}"))?;
    if body.len() < len as usize {
        return Err(format!("input ends inside a batch: {} of {len} bytes", body.len()));
    }
    Ok(Some(body))
}

/// Applies the records of a batch to the instances. The reply contains the actions of every instance that the batch addresses.
fn process_batch(
    now: Micros, records: Vec<Record>, instances: &mut BTreeMap<u16, Sender>,
) -> Result<Reply, String> {
    let mut events_by_instance: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
    for record in records {
        match record {
            Record::Spawn { instance, seed, conf } => {
                instances.insert(instance, Sender::new(indigohold::settings::settings(&conf)?, seed));
                events_by_instance.insert(instance, Vec::new());
            }
            Record::Halt { instance } => {
                if instances.remove(&instance).is_none() {
                    return Err(format!("Halt for unknown instance {instance}"));
                }
                events_by_instance.remove(&instance);
            }
            Record::Event { instance, event } => {
                if !instances.contains_key(&instance) {
                    return Err(format!("event for unknown instance {instance}"));
                }
                events_by_instance.entry(instance).or_default().push(event);
            }
        }
    }
    let mut reply = Reply::default();
    for (instance, events) in events_by_instance {
        let Some(sender) = instances.get_mut(&instance) else { continue };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| sender.handle(now, &events, &mut actions))) {
            Ok(()) => actions.iter().for_each(|action| reply.push(instance, action)),
            Err(_) => reply.fatal(instance, "the decision code has panicked; see standard error"),
        }
    }
    Ok(reply)
}
