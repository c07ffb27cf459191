//! The program `pumicebay-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    match pumicebay_lab::cli::main() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pumicebay-lab: {error:#}");
            ExitCode::from(2)
        }
    }
}
