//! Records in the state service: their keys, and the encoding and decoding of their values.

use super::pinned::{PinnedFile, names_of, show, with, without};
use super::services::instance_type;
use super::users::job_specs;
use cedarladder::bookkeeping::jobs::TaskSet;
use cedarladder::bookkeeping::records::{
    self, FinishedRecord, JobOutcome, LeaderRecord, ProvisioningRecord,
};
use cedarladder::bookkeeping::wal::{
    self, Amount, BindingEntry, CompletedEntry, EndedBindingEntry, JobEntry, Segment,
    SegmentBuilder, TASKS_PER_CHUNK, WorkerEntry,
};
use cedarladder::bookkeeping::workers::{Binding, Resources, Worker};
use cedarladder::protocol::cbor;
use cedarladder::protocol::cloud::InstanceType;
use cedarladder::protocol::job::JobSpec;
use cedarladder::protocol::kv::{KvRequest, Txn, WriteOp};
use cedarladder::protocol::worker::TaskId;
use ciborium::{Value, cbor};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Pins the transaction that puts a record, the encoding of the record, and the decoding of the pinned bytes.
fn pin_record<T: Serialize + DeserializeOwned>(
    file: &mut PinnedFile,
    case: &str,
    key: &str,
    record: &T,
) {
    let writes = vec![WriteOp::put(key, record)];
    let compares = Vec::new();
    let (_, _, body) = KvRequest::Txn(Txn { compares, writes }).http_request();
    file.pin(&format!("{case}, transaction"), &body);
    let bytes = file.pin(&format!("{case}, value"), &cbor::encode(record));
    let value: Value = cbor::decode(&bytes).expect("the pinned bytes are not CBOR");
    pin_decoded::<T>(file, case, &value);
}

/// Pins the decoding of a value from the state service.
fn pin_decoded<T: Serialize + DeserializeOwned>(file: &mut PinnedFile, case: &str, value: &Value) {
    let decoded = match cbor::from_value::<T>(value) {
        Ok(record) => show(&record),
        Err(error) => format!("refused: {error}"),
    };
    file.pin_text(&format!("{case}, read"), &decoded);
}

/// Pins the decoding of a complete record, of the record without each of its fields, and with an unknown field.
fn pin_decoded_variants<T: Serialize + DeserializeOwned>(
    file: &mut PinnedFile,
    case: &str,
    whole: &Value,
) {
    pin_decoded::<T>(file, &format!("{case} as stored"), whole);
    for name in names_of(whole) {
        let partial = without(whole, &name);
        pin_decoded::<T>(file, &format!("{case} without {name}"), &partial);
    }
    let newer = with(whole, "New", Value::from(1));
    pin_decoded::<T>(file, &format!("{case} with an unknown field"), &newer);
}

#[test]
fn keys_keep_their_names() {
    let mut file = PinnedFile::open("keys");
    for (case, key) in [
        ("leader", records::LEADER_KEY.to_owned()),
        ("catalogue", records::INSTANCE_CATALOG_KEY.to_owned()),
        ("prefix of open jobs", records::OPEN_PREFIX.to_owned()),
        (
            "prefix of finished jobs",
            records::FINISHED_PREFIX.to_owned(),
        ),
        ("prefix of the log", records::LOG_PREFIX.to_owned()),
        ("prefix of rentals", records::PROVISIONING_PREFIX.to_owned()),
        ("open job", records::open_key("j-000412")),
        ("finished job", records::finished_key("j-000412")),
        ("first slot", records::log_key(0)),
        ("slot", records::log_key(412)),
        ("slot of six digits", records::log_key(123_456)),
        ("rental", records::provisioning_key("r-17")),
    ] {
        file.pin_text(case, &key);
    }
    file.finish();
}

#[test]
fn leader_and_provisioning_records_keep_their_bytes() {
    let mut file = PinnedFile::open("records_of_the_leader");
    let leader = LeaderRecord {
        label: "rung-1".into(),
        process_incarnation: u64::MAX,
    };
    pin_record(&mut file, "leader", records::LEADER_KEY, &leader);
    let stored =
        cbor!({"Label" => "rung-1", "Life" => 5}).expect("the literal is not a valid CBOR value");
    pin_decoded_variants::<LeaderRecord>(&mut file, "leader", &stored);
    let provisioning = ProvisioningRecord {
        instance_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    pin_record(
        &mut file,
        "rental",
        &records::provisioning_key("r-17"),
        &provisioning,
    );
    let stored = cbor!({"Flavor" => "g8", "Grove" => "a", "Windfall" => true, "Count" => 12});
    pin_decoded_variants::<ProvisioningRecord>(
        &mut file,
        "rental",
        &stored.expect("the literal is not a valid CBOR value"),
    );
    file.finish();
}

#[test]
fn records_of_finished_jobs_keep_their_bytes() {
    let mut file = PinnedFile::open("records_of_finished_jobs");
    let key = records::finished_key("j-000412");
    for (case, outcome) in [("done", JobOutcome::Done), ("aborted", JobOutcome::Aborted)] {
        let record = FinishedRecord {
            outcome,
            completed_tasks: 3,
        };
        pin_record(&mut file, case, &key, &record);
        let stored =
            cbor!({"Status" => case, "Done" => 3}).expect("the literal is not a valid CBOR value");
        pin_decoded_variants::<FinishedRecord>(&mut file, case, &stored);
    }
    let unknown =
        cbor!({"Status" => "lost", "Done" => 3}).expect("the literal is not a valid CBOR value");
    pin_decoded::<FinishedRecord>(&mut file, "unknown ending", &unknown);
    file.finish();
}

#[test]
fn records_of_open_jobs_keep_their_bytes() {
    let mut file = PinnedFile::open("records_of_open_jobs");
    for (case, spec) in job_specs() {
        pin_record(&mut file, &case, &records::open_key(&spec.id), &spec);
    }
    let stored = cbor!({"NameId" => "j-000412", "Jobclass" => "train", "Owner" => "vision",
        "Shape" => "array", "Rank" => "urgent", "Steps" => 16, "Cores" => 8, "Gpus" => 1,
        "RamGb" => 64, "Flavors" => ["g8"], "Grove" => "a", "OneZone" => true,
        "Spread" => false, "Windfall" => true, "Bundle" => "img-07", "PullGb" => 6.2,
        "ExpectS" => 240, "SnapshotS" => 30, "FlushS" => 4, "DueS" => 900, "At" => 5});
    pin_decoded_variants::<JobSpec>(
        &mut file,
        "job",
        &stored.expect("the literal is not a valid CBOR value"),
    );
    file.finish();
}

#[test]
fn the_stored_instance_catalog_keeps_its_bytes() {
    let mut file = PinnedFile::open("records_of_the_catalogue");
    let types = vec![instance_type(Some(4.5)), instance_type(None)];
    pin_record(
        &mut file,
        "catalogue",
        records::INSTANCE_CATALOG_KEY,
        &types,
    );
    let none: Vec<InstanceType> = Vec::new();
    pin_record(
        &mut file,
        "empty catalogue",
        records::INSTANCE_CATALOG_KEY,
        &none,
    );
    let stored = cbor!({"Label" => "g8", "Cores" => 96, "Gpus" => 8, "RamGb" => 768,
        "LocalGb" => 200, "PullGbPerS" => 1, "Hourly" => 12, "MarketPrice" => null,
        "ReadyS" => 45, "Groves" => ["a", "b"]});
    pin_decoded_variants::<InstanceType>(
        &mut file,
        "type",
        &stored.expect("the literal is not a valid CBOR value"),
    );
    file.finish();
}

/// A segment with every kind of entry.
fn full_segment() -> Segment {
    Segment {
        seq: 17,
        epoch: 41,
        worker_names: vec!["host-000231".into(), "host-000232".into()],
        jobs: vec![
            JobEntry {
                id: "j-000412".into(),
                team: "vision".into(),
                cpus: Amount(8.0),
                gpus: Amount(1.0),
                ram_gb: Amount(64.5),
            },
            JobEntry {
                id: "j-1".into(),
                team: String::new(),
                cpus: Amount(0.0),
                gpus: Amount(0.0),
                ram_gb: Amount(0.0),
            },
        ],
        workers: vec![WorkerEntry {
            worker: 0,
            instance_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            endpoint: "10.1.0.232:9000".into(),
            terminating: false,
        }],
        bindings: vec![BindingEntry {
            worker: 0,
            job: 1,
            index: 2,
            attempt: 3,
            incarnation: 4,
        }],
        ended_bindings: vec![EndedBindingEntry {
            worker: 5,
            job: 6,
            index: 7,
            attempt: 8,
        }],
        removed_workers: vec![9, 10],
        completed: vec![CompletedEntry {
            job: 0,
            chunk: 1,
            bitmap: "0f8".into(),
        }],
    }
}

#[test]
fn segments_of_the_log_keep_their_bytes() {
    let mut file = PinnedFile::open("records_of_the_log");
    let key = records::log_key(5);
    pin_record(&mut file, "full", &key, &full_segment());
    pin_record(&mut file, "empty", &key, &Segment::default());
    let stored = cbor!({"Seq" => 17, "Epoch" => 41, "H" => ["host-000231"],
        "J" => [["j-000412", "vision", 8, 1, 64]],
        "K" => [[0, "g8", "a", true, "10.1.0.232:9000", false]],
        "B" => [[0, 1, 2, 3, 4]], "E" => [[5, 6, 7, 8]], "G" => [9, 10], "D" => [[0, 1, "0f8"]]});
    pin_decoded_variants::<Segment>(
        &mut file,
        "segment",
        &stored.expect("the literal is not a valid CBOR value"),
    );
    file.finish();
}

/// The resources that each task in these tests requests.
const REQUEST: Resources = Resources {
    cpus: 8.0,
    gpus: 1.0,
    ram_gb: 64.5,
};

fn task(job: &str, index: u32) -> TaskId {
    TaskId {
        job: job.into(),
        index,
    }
}

fn binding(team: &str, attempt: u64, incarnation: u64) -> Binding {
    Binding {
        attempt,
        incarnation,
        request: REQUEST,
        team: team.into(),
        durable: true,
        inherited: false,
        unbinding: false,
        eviction: None,
        running_since: None,
    }
}

#[test]
fn built_segments_keep_their_bytes_and_their_counted_size() {
    let mut file = PinnedFile::open("built_segments");
    let mut worker = Worker::new("host-000231", "g8", "a", true, 0.0);
    worker.endpoint = "10.1.0.232:9000".into();
    type Step = fn(&mut SegmentBuilder, &Worker);
    let steps: [(&str, Step); 8] = [
        ("empty", |_, _| {}),
        ("kind", |builder, worker| {
            builder.describe_worker(worker, false);
        }),
        ("returning host", |builder, worker| {
            builder.describe_worker(worker, true);
        }),
        ("binding", |builder, worker| {
            builder.bind(&worker.name, &task("j-000412", 3), &binding("vision", 2, 1));
        }),
        ("end", |builder, worker| {
            builder.end_binding(&worker.name, &task("j-2", 4), 5);
        }),
        ("binding of a job named before", |builder, worker| {
            builder.bind(&worker.name, &task("j-2", 6), &binding("guest", 7, 8));
        }),
        ("gone host", |builder, _| {
            builder.remove_worker("host-000232");
        }),
        ("done", |builder, _| {
            builder.complete("j-000412", 1, "0f8".into());
        }),
    ];
    // Each case consists of the first `count` steps, and has the name of the last one.
    for count in 1..=steps.len() {
        let mut builder = SegmentBuilder::new(41, 17);
        for (_, step) in &steps[..count] {
            step(&mut builder, &worker);
        }
        let case = steps[count - 1].0;
        file.pin_text(&format!("{case}, size"), &builder.bytes().to_string());
        file.pin(case, &cbor::encode(&builder.finish()));
    }
    let size = SegmentBuilder::entry_bytes(&worker, "j-000412", "vision");
    file.pin_text("size of any entry", &size.to_string());
    file.finish();
}

#[test]
fn completed_tasks_keep_their_bitmaps() {
    let mut file = PinnedFile::open("completed_tasks");
    let tasks = TASKS_PER_CHUNK + 10;
    let mut completed = TaskSet::new(tasks);
    let indices = [0, 1, 5, 255, TASKS_PER_CHUNK, TASKS_PER_CHUNK + 9];
    for index in indices {
        assert!(completed.insert(index));
    }
    let mut decoded = Vec::new();
    for chunk in [0, 1] {
        let bitmap = wal::encode_chunk(&completed, chunk, tasks);
        let pinned = file.pin(&format!("chunk {chunk}"), bitmap.as_bytes());
        let bitmap = String::from_utf8(pinned).expect("the bitmap is not UTF-8");
        decoded.extend(wal::decode_chunk(chunk, &bitmap));
    }
    assert_eq!(decoded, indices);
    file.finish();
}
