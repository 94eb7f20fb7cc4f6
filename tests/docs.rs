//! Checks that the operators' handbook describes every setting, key and cause in the code.

use std::fs;
use std::process;

use mangotray::declaration;
use mangotray::fault;
use mangotray::reason;
use mangotray::route;
use mangotray::settings;
use serde::de;

/// Text before the list of valid names in the reason of a fault.
const KNOWN_PREFIX: &str = "known are: ";

fn handbook() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/OPERATIONS.md");
    fs::read_to_string(path).unwrap()
}

/// Returns the valid names that the faults list.
fn known_names(faults: &[fault::Fault]) -> Vec<String> {
    let lists = faults
        .iter()
        .filter_map(|fault| fault.reason.split_once(KNOWN_PREFIX));
    let names = lists.flat_map(|(_, list)| list.split(", "));
    names.map(str::to_owned).collect()
}

/// Returns the names of an enum's values, taken from the error about an unknown value.
fn variant_names<T: de::DeserializeOwned>() -> Vec<String> {
    let error = serde_json::from_str::<T>("\"no such value\"")
        .err()
        .unwrap();
    let words = error.to_string();
    let quoted = words.split('`').skip(3).step_by(2);
    quoted.map(str::to_owned).collect()
}

fn assert_row(handbook: &str, row: &str) {
    assert!(
        handbook.contains(row),
        "docs/OPERATIONS.md has no row {row}"
    );
}

#[test]
fn every_setting_is_documented() {
    let handbook = handbook();
    let sections = known_names(&settings::Settings::parse("[unknown]\n").unwrap_err());
    assert!(sections.len() >= 5, "{sections:?}");
    for section in sections {
        let faults = settings::Settings::parse(&format!("[{section}]\nunknown = 1\n"));
        let keys = known_names(&faults.unwrap_err());
        assert!(!keys.is_empty(), "{section}");
        for key in keys {
            assert_row(&handbook, &format!("| `[{section}]` | `{key}` |"));
        }
    }
}

#[test]
fn every_key_of_the_operators_file_is_documented() {
    let handbook = handbook();
    let sections = known_names(&declaration::Declaration::parse("[unknown]\n").unwrap_err());
    assert!(sections.len() >= 3, "{sections:?}");
    for section in sections {
        let faults = declaration::Declaration::parse(&format!("{section}\nunknown = 1\n"));
        let keys = known_names(&faults.unwrap_err());
        assert!(!keys.is_empty(), "{section}");
        for key in keys {
            assert_row(&handbook, &format!("| `{section}` | `{key}` |"));
        }
    }
}

#[test]
fn every_cause_of_a_route_and_of_a_refusal_is_documented() {
    let handbook = handbook();
    let causes = [
        variant_names::<route::Reason>(),
        variant_names::<reason::Reason>(),
    ];
    for causes in &causes {
        assert!(causes.len() >= 7, "{causes:?}");
    }
    for cause in causes.iter().flatten() {
        assert_row(&handbook, &format!("| `{cause}` |"));
    }
}

/// Names of the binaries that `cargo build` and `cargo run --bin` find without naming a package.
fn default_binaries() -> Vec<String> {
    let mut command = process::Command::new(env!("CARGO"));
    let command = command.args(["metadata", "--no-deps", "--offline", "--format-version=1"]);
    let output = command.current_dir(env!("CARGO_MANIFEST_DIR")).output();
    let metadata: serde_json::Value = serde_json::from_slice(&output.unwrap().stdout).unwrap();
    let defaults = metadata["workspace_default_members"].as_array().unwrap();
    let packages = metadata["packages"].as_array().unwrap().iter();
    let built = packages.filter(|package| defaults.contains(&package["id"]));
    let targets = built.flat_map(|package| package["targets"].as_array().unwrap());
    let binaries = targets.filter(|target| target["kind"] == serde_json::json!(["bin"]));
    let names = binaries.map(|target| target["name"].as_str().unwrap().to_owned());
    names.collect()
}

/// Guards against a first command of a new user that ends with "no bin target named ...".
#[test]
fn every_binary_of_a_printed_command_is_built_by_default() {
    let binaries = default_binaries();
    let mut checked = 0;
    for page in [
        "README.md",
        "CONTRIBUTING.md",
        "DEVELOPERS.md",
        "docs/OPERATIONS.md",
    ] {
        let path = format!("{}/{page}", env!("CARGO_MANIFEST_DIR"));
        let text = fs::read_to_string(path).unwrap();
        for line in text.lines().filter(|line| line.starts_with("$ cargo run")) {
            let mut words = line.split(' ').skip_while(|word| *word != "--bin").skip(1);
            let name = words.next().expect("a command names its binary");
            assert!(
                binaries.iter().any(|binary| binary == name),
                "{page}: {line}"
            );
            checked += 1;
        }
    }
    assert!(checked >= 4, "{checked}");
}
