//! Data files with pinned cases, and the text form of decoded values. A pinned case is a named output that is stored in
//! a data file; the program must still produce the same bytes.

use cedarladder::protocol::cbor;
use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// If this environment variable is set, the data files are written instead of compared.
const WRITE_VARIABLE: &str = "GOLDEN_WRITE";
/// Number of hexadecimal digits of a byte.
const DIGITS_PER_BYTE: usize = 2;
/// Base of hexadecimal digits.
const HEXADECIMAL: u32 = 16;

/// Names of all data files. Each of them is opened by one of the golden tests.
const DATA_FILES: [&str; 39] = [
    "answers_to_users",
    "built_segments",
    "cloud_answers",
    "cloud_objects",
    "cloud_requests",
    "commands",
    "completed_tasks",
    "frames",
    "heartbeats",
    "http",
    "keys",
    "leader_requests",
    "policy",
    "policy_problems",
    "policy_variables",
    "program_calls",
    "program_check",
    "program_help",
    "program_mistakes",
    "program_unreached",
    "records_of_finished_jobs",
    "records_of_open_jobs",
    "records_of_the_catalogue",
    "records_of_the_leader",
    "records_of_the_log",
    "reports_read",
    "reports_written",
    "settings",
    "settings_errors",
    "settings_without_a_key",
    "state_answers",
    "state_items",
    "state_requests",
    "submissions",
    "tokens",
    "user_requests",
    "user_requests_overload",
    "worker_calls",
    "worker_requests",
];

/// A data file with its pinned cases, and the cases that the program produces now.
pub struct PinnedFile {
    path: PathBuf,
    /// The file is to be written anew instead of compared.
    is_written: bool,
    /// The cases in the data file; empty if the file is to be written.
    expected: BTreeMap<String, Vec<u8>>,
    /// The cases that the test has added, in this order.
    produced: Vec<(String, Vec<u8>)>,
}

impl PinnedFile {
    /// Opens `tests/golden/<name>.txt`.
    pub fn open(name: &str) -> PinnedFile {
        assert!(
            DATA_FILES.contains(&name),
            "{name} is not listed in DATA_FILES"
        );
        let path = directory().join(format!("{name}.txt"));
        let is_written = std::env::var_os(WRITE_VARIABLE).is_some();
        let mut expected = BTreeMap::new();
        if !is_written {
            let text = std::fs::read_to_string(&path).expect("the data file can't be read");
            for line in text.lines() {
                let (case, hex) = line
                    .split_once('\t')
                    .expect("a line of the data file has no tab between name and digits");
                let earlier = expected.insert(case.to_owned(), from_hex(hex));
                assert!(earlier.is_none(), "{name}: two lines for {case}");
            }
        }
        PinnedFile {
            path,
            is_written,
            expected,
            produced: Vec::new(),
        }
    }

    /// Adds a case with the bytes that the program produces. Returns the pinned bytes, for tests that decode them, or
    /// `bytes` if the data file has no such case.
    pub fn pin(&mut self, case: &str, bytes: &[u8]) -> Vec<u8> {
        assert!(
            !case.contains(['\t', '\n']),
            "the name of the case {case:?} contains a tab or a line break"
        );
        assert!(
            self.produced.iter().all(|(other, _)| other != case),
            "the test has added two cases with the name {case}"
        );
        self.produced.push((case.to_owned(), bytes.to_vec()));
        match self.expected.get(case) {
            Some(pinned) => pinned.clone(),
            None => bytes.to_vec(),
        }
    }

    /// Adds a case whose bytes are text.
    pub fn pin_text(&mut self, case: &str, text: &str) {
        self.pin(case, text.as_bytes());
    }

    /// Adds a case for the encoding of a message of this program, and one for the decoding of the pinned bytes.
    pub fn pin_message<T: Serialize + DeserializeOwned>(&mut self, case: &str, message: &T) {
        let bytes = self.pin(case, &cbor::encode(message));
        self.pin_decoded::<T>(case, &bytes);
    }

    /// Adds a case for a message that another program sends, and one for the decoding of the pinned bytes.
    pub fn pin_received<T: Serialize + DeserializeOwned>(&mut self, case: &str, message: &Value) {
        let bytes = self.pin(case, &cbor::encode(message));
        self.pin_decoded::<T>(case, &bytes);
    }

    fn pin_decoded<T: Serialize + DeserializeOwned>(&mut self, case: &str, bytes: &[u8]) {
        let decoded = match cbor::decode::<T>(bytes) {
            Ok(message) => show(&message),
            Err(error) => format!("refused: {error}"),
        };
        self.pin_text(&format!("{case}, read"), &decoded);
    }

    /// Compares all cases with the data file, or writes the file.
    pub fn finish(self) {
        if self.is_written {
            let lines: String = self
                .produced
                .iter()
                .map(|(case, bytes)| format!("{case}\t{}\n", to_hex(bytes)))
                .collect();
            std::fs::write(&self.path, lines).expect("the data file can't be written");
            return;
        }
        let file = self.path.display().to_string();
        let differences = self.differences();
        assert!(differences.is_empty(), "{file}\n{differences}");
    }

    /// Describes the differences from the data file, with one or more lines for each case that differs.
    fn differences(self) -> String {
        let mut expected = self.expected;
        let mut differences = String::new();
        for (case, bytes) in self.produced {
            let difference = match expected.remove(&case) {
                None => "has no line".to_owned(),
                Some(pinned) if pinned == bytes => continue,
                Some(pinned) => format!(
                    "\n  pinned {}\n  now    {}",
                    hex_and_text(&pinned),
                    hex_and_text(&bytes)
                ),
            };
            let _ = writeln!(differences, "{case}: {difference}");
        }
        for case in expected.keys() {
            let _ = writeln!(differences, "{case}: no test uses this line");
        }
        differences
    }
}

/// The directory of the data files.
pub fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    assert!(hex.is_ascii(), "{hex:?} has characters that are not ASCII");
    assert_eq!(
        hex.len() % DIGITS_PER_BYTE,
        0,
        "{hex} has an odd number of digits"
    );
    (0..hex.len())
        .step_by(DIGITS_PER_BYTE)
        .map(|at| u8::from_str_radix(&hex[at..at + DIGITS_PER_BYTE], HEXADECIMAL))
        .collect::<Result<_, _>>()
        .expect("a character is not a hexadecimal digit")
}

/// Bytes in hexadecimal and as text, for the message of a failed test.
fn hex_and_text(bytes: &[u8]) -> String {
    format!("{} ({:?})", to_hex(bytes), String::from_utf8_lossy(bytes))
}

/// The text form of a message, with the field names of its wire form.
pub fn show<T: Serialize>(message: &T) -> String {
    show_value(&Value::serialized(message).expect("the message can't be encoded"))
}

/// The text form of a value, similar to JSON. Floating-point numbers always have a decimal point.
pub fn show_value(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(flag) => flag.to_string(),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Float(number) => format!("{number:?}"),
        Value::Text(text) => format!("{text:?}"),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(show_value).collect();
            format!("[{}]", items.join(","))
        }
        Value::Map(fields) => {
            let fields: Vec<String> = fields
                .iter()
                .map(|(name, item)| format!("{}:{}", show_value(name), show_value(item)))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
        other => panic!("unexpected kind of value in a message of this program: {other:?}"),
    }
}

/// The fields of a map. Panics if the value is not a map.
pub fn fields_of(value: Value) -> Vec<(Value, Value)> {
    value.into_map().expect("the value is not a map")
}

/// A map without one of its fields.
pub fn without(map: &Value, name: &str) -> Value {
    let mut fields = fields_of(map.clone());
    let before = fields.len();
    fields.retain(|(key, _)| key.as_text() != Some(name));
    assert_eq!(
        fields.len() + 1,
        before,
        "the map does not have exactly one field {name}"
    );
    Value::Map(fields)
}

/// A map in which one field is replaced or added.
pub fn with(map: &Value, name: &str, value: Value) -> Value {
    let mut fields = fields_of(map.clone());
    match fields
        .iter_mut()
        .find(|(key, _)| key.as_text() == Some(name))
    {
        Some(field) => field.1 = value,
        None => fields.push((Value::Text(name.to_owned()), value)),
    }
    Value::Map(fields)
}

/// Names of the fields of a map.
pub fn names_of(map: &Value) -> Vec<String> {
    fields_of(map.clone())
        .into_iter()
        .map(|(name, _)| name.into_text().expect("the name of a field is not a text"))
        .collect()
}

/// `DATA_FILES` lists exactly the data files that exist. In a run that writes a new data file this test may fail, if it
/// reads the directory before the other test has written the file.
#[test]
fn every_data_file_is_listed() {
    let mut found: Vec<String> = std::fs::read_dir(directory())
        .expect("the directory of the data files can't be read")
        .map(|entry| entry.expect("a directory entry can't be read").path())
        .filter(|path| path.extension().is_some_and(|kind| kind == "txt"))
        .filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()))
        .collect();
    found.sort();
    assert_eq!(found, DATA_FILES);
}

/// The comparison with a data file reports each kind of difference. If it reported none, all golden tests would pass
/// whatever the program produces.
#[test]
fn differences_are_reported() {
    let file = |pinned: &[(&str, &[u8])], produced: &[(&str, &[u8])]| {
        let cases = |cases: &[(&str, &[u8])]| -> Vec<(String, Vec<u8>)> {
            let owned = |(case, bytes): &(&str, &[u8])| ((*case).to_owned(), bytes.to_vec());
            cases.iter().map(owned).collect()
        };
        PinnedFile {
            path: PathBuf::new(),
            is_written: false,
            expected: cases(pinned).into_iter().collect(),
            produced: cases(produced),
        }
    };
    let (one, other): (&[u8], &[u8]) = (b"1", b"2");
    for (name, pinned, produced, expected) in [
        ("none", vec![("a", one)], vec![("a", one)], ""),
        (
            "other bytes",
            vec![("a", one)],
            vec![("a", other)],
            "a: \n  pinned 31",
        ),
        ("no line", vec![], vec![("a", one)], "a: has no line"),
        (
            "no case",
            vec![("a", one)],
            vec![],
            "a: no test uses this line",
        ),
    ] {
        let differences = file(&pinned, &produced).differences();
        assert_eq!(
            differences.is_empty(),
            expected.is_empty(),
            "whether no difference is reported in the case {name:?}"
        );
        assert!(
            differences.starts_with(expected),
            "expected {expected:?} in the case {name:?}, got {differences:?}"
        );
    }
}
