//! The `pumicebay` program, whose command line is in `pumicebay::cli`.

fn main() -> std::process::ExitCode {
    match pumicebay::cli::main(lexopt::Parser::from_env()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("pumicebay: {error:#}");
            std::process::ExitCode::FAILURE
        }
    }
}
