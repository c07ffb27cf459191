//! The binary `pumicebay-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    #[cfg(feature = "planted")]
    plant();
    // This binary is also the proxy under test unless `--proxy` names another one. `as-proxy` selects a proxy
    // command whose name the lab uses too.
    let mut args = std::env::args_os().peekable();
    let program = args.next().unwrap_or_default();
    let as_proxy = args.next_if(|word| word == "as-proxy").is_some();
    if as_proxy || args.peek().is_some_and(|word| word == "serve") {
        return match pumicebay::cli::main(lexopt::Parser::from_iter(std::iter::once(program).chain(args))) {
            Ok(code) => code,
            Err(error) => {
                eprintln!("pumicebay: {error:#}");
                ExitCode::FAILURE
            }
        };
    }
    // `act` is the command that the rig's fleet plans run while a lease is held.
    if args.next_if(|word| word == "act").is_some() {
        let words: Vec<String> = args.map(|word| word.to_string_lossy().into_owned()).collect();
        return match pumicebay_lab::rig::run_act_command(&words) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::from(1),
            Err(error) => {
                eprintln!("act: {error:#}");
                ExitCode::from(2)
            }
        };
    }
    match pumicebay_lab::cli::main() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pumicebay-lab: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// Injects the fault whose number is in `$PUMICEBAY_PLANT` into this process. Processes that the rig starts
/// inherit the variable and inject the same fault.
#[cfg(feature = "planted")]
fn plant() {
    let number = std::env::var("PUMICEBAY_PLANT").ok().and_then(|number| number.parse::<u8>().ok());
    pumicebay_accord::plant(
        pumicebay_accord::Fault::ALL.into_iter().find(|fault| Some(*fault as u8) == number),
    );
}
