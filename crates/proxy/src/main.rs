fn main() -> std::process::ExitCode {
    match pumicebay::cli::main() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumicebay: {error:#}");
            std::process::ExitCode::FAILURE
        }
    }
}
