//! Generates the committed wire types of `tanager-wire` from `schema/`.
//!
//! Usage: `cargo run -p tanager-codegen [-- --check]`, from the workspace root.
//! With `--check` nothing is written and differing files are reported.

use std::path::Path;
use std::{env, fs};

use miette::{IntoDiagnostic as _, Result, bail};

const OUTPUT: &str = "crates/wire/src/generated";
const SCHEMAS: [&str; 2] = ["caller.proto", "target.proto"];

fn main() -> Result<()> {
    let check = env::args().any(|a| a == "--check");
    let temp_dir = env::temp_dir().join(format!("tanager-codegen-{}", std::process::id()));
    fs::create_dir_all(&temp_dir).into_diagnostic()?;

    let descriptors = protox::compile(SCHEMAS, ["schema"]).into_diagnostic()?;
    let mut config = prost_build::Config::new();
    config.out_dir(&temp_dir).bytes(["."]);
    config.compile_fds(descriptors).into_diagnostic()?;

    let result = write_or_compare(&temp_dir, check);
    fs::remove_dir_all(&temp_dir).into_diagnostic()?;
    result
}

fn write_or_compare(temp_dir: &Path, check: bool) -> Result<()> {
    for name in ["tanager.caller.rs", "tanager.target.rs"] {
        let generated = fs::read_to_string(temp_dir.join(name)).into_diagnostic()?;
        let path = Path::new(OUTPUT).join(name.trim_start_matches("tanager."));
        if !check {
            fs::create_dir_all(OUTPUT).into_diagnostic()?;
            fs::write(&path, generated).into_diagnostic()?;
        } else if fs::read_to_string(&path).into_diagnostic()? != generated {
            bail!(
                "{} differs from schema/; run cargo run -p tanager-codegen",
                path.display()
            );
        }
    }
    Ok(())
}
