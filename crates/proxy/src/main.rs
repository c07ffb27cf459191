fn main() -> anyhow::Result<()> {
    pumicebay::cli::main()
}
