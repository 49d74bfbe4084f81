//! Checks that the program of the deploy file accepts the settings that the platform fills into the template.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use streamfold_lab::fleet::find_binary;
use streamfold_standin::documents::TemplateValues;

const DEPLOY: &str = include_str!("../../../deploy/system.toml");

/// Returns the value of a `name = "value"` line of the deploy file.
fn read_value(name: &str) -> &'static str {
    let prefix = format!("{name} = \"");
    let line = DEPLOY.lines().find_map(|line| line.strip_prefix(prefix.as_str()));
    line.and_then(|value| value.strip_suffix('"')).expect("a line of the deploy file")
}

fn fill_template() -> String {
    let template = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(read_value("template"));
    let template = std::fs::read_to_string(template).expect("the template");
    let port = |number| SocketAddr::from(([127, 0, 0, 1], number));
    let gaps = TemplateValues {
        name: "front-vienna-1",
        domain: "vienna",
        regions: BTreeMap::from([("vienna", "east"), ("graz", "south")]),
        callers: port(7100),
        ready: port(7101),
        peers: port(7102),
        metrics: port(7103),
        platform: port(7000),
        seeds: &["127.0.0.1:7102".to_owned()],
        grace_seconds: 6,
        cpu_share: 0.25,
        memory_mb: 260,
        max_files: 4_100,
        extra_ratio: 0.2,
        extra_allowance: 54,
        are_keys_strict: false,
    };
    gaps.fill(&template).expect("a template without other placeholders")
}

#[test]
fn the_deployed_command_accepts_the_deployed_settings() {
    let mut words = read_value("run").split(' ');
    let program = Path::new(words.next().expect("a program"));
    assert_eq!(program.parent(), Some(Path::new("target/release")));
    let name = program.file_name().and_then(|name| name.to_str()).expect("a name");
    let path = std::env::temp_dir().join(format!("streamfold-deploy-{:016x}.yaml", rand::random::<u64>()));
    std::fs::write(&path, fill_template()).expect("a written file");
    let arguments = words.map(|word| match word.starts_with("/etc/") {
        true => path.clone().into_os_string(),
        false => word.into(),
    });
    let output = Command::new(find_binary(name)).args(arguments).arg("--check").output().expect("a run");
    std::fs::remove_file(&path).expect("the file");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    assert_eq!(printed.trim(), "settings of node front-vienna-1 are valid");
    assert!(output.status.success());
}
