//! The program `pumicebay-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    // The lab is also the proxy that it plays with, where no other is named.
    if std::env::args().nth(1).as_deref() == Some("serve") {
        return match pumicebay::cli::main() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("pumicebay: {error:#}");
                ExitCode::FAILURE
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
