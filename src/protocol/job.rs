//! The users' interface: the wire form of jobs, and the validation of submissions.

use super::cbor;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u64 = 100_000;
/// Maximum length of a text field in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of instance types that a job may list.
const MAX_INSTANCE_TYPES: usize = 64;
/// Maximum value of a field that is an amount; far above what any instance has, and low enough that amounts can safely
/// be added.
const MAX_AMOUNT: f64 = 1e9;

/// How the tasks of a job run: to completion, independently or together, or until the job is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Gang scheduling: tasks that depend on each other are started together and run to completion. The protocol's
    /// specification does not mention this kind, but its users' tools send it; see docs/questions.md.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority classes, the highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Highest priority.
    Production,
    /// Above normal priority.
    Urgent,
    /// Normal priority.
    Normal,
    /// Lowest priority; uses the resources that other jobs leave free.
    BestEffort,
}

/// The specification of a job, as submitted and as stored in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, chosen by the user: `j-` and up to 20 digits.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Class of the job, to which objectives in the settings refer.
    #[serde(rename = "Jobclass")]
    pub class: String,
    /// Team whose quota and limit apply.
    #[serde(rename = "Owner")]
    pub team: String,
    /// How the job's tasks run.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Priority class. Jobs of a higher class are placed first and may preempt tasks of lower classes.
    #[serde(rename = "Rank")]
    pub priority: PriorityClass,
    /// Number of tasks.
    #[serde(rename = "Steps")]
    pub tasks: u32,
    /// CPU cores that each task requests.
    #[serde(rename = "Cores", deserialize_with = "cbor::amount")]
    pub cpus: f64,
    /// GPUs that each task requests.
    #[serde(rename = "Gpus", deserialize_with = "cbor::amount")]
    pub gpus: f64,
    /// Memory in GB that each task requests.
    #[serde(rename = "RamGb", deserialize_with = "cbor::amount")]
    pub ram_gb: f64,
    /// Allowed instance types; `None` allows all.
    #[serde(rename = "Flavors")]
    pub instance_types: Option<Vec<String>>,
    /// The only allowed zone; `None` allows all.
    #[serde(rename = "Grove")]
    pub zone: Option<String>,
    /// If set, all tasks must run in the same zone.
    #[serde(rename = "OneZone")]
    pub one_zone: bool,
    /// If set, at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "Spread")]
    pub spread: bool,
    /// Whether tasks may run on spot instances.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Container image, which the worker pulls before it starts a task.
    #[serde(rename = "Bundle")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "PullGb", deserialize_with = "cbor::amount")]
    pub image_gb: f64,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "ExpectS", deserialize_with = "cbor::amount")]
    pub expected_runtime_s: f64,
    /// Seconds between two checkpoints of a task; 0 if it saves none.
    #[serde(rename = "SnapshotS", deserialize_with = "cbor::amount")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "FlushS", deserialize_with = "cbor::amount")]
    pub checkpoint_grace_s: f64,
    /// Seconds from the submission within which the job should be complete; `None` if the user has set no deadline.
    #[serde(rename = "DueS", default, deserialize_with = "cbor::optional_amount")]
    pub deadline_s: Option<f64>,
    /// Wall-clock time at which a controller received the job, in seconds. Not part of a submission; added to the
    /// stored record.
    #[serde(rename = "At", default, deserialize_with = "cbor::amount")]
    pub submitted_at: f64,
}

impl JobSpec {
    /// Maximum number of tasks of this job that may run in the same zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the job's tasks may run on instances of this type, in this zone, spot or on-demand.
    pub fn allows(&self, instance_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|only| only == zone)
            && self
                .instance_types
                .as_ref()
                .is_none_or(|allowed| allowed.iter().any(|name| name == instance_type))
    }
}

/// Why a submission is malformed; the response has status 400.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJob {
    /// The body is not CBOR, or not a map with text keys.
    #[error("the body is not a CBOR map")]
    NotAMap,
    /// A required field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field has the wrong type or is out of range.
    #[error("{0} is invalid")]
    Invalid(&'static str),
}

/// Whether a string has the form of a job id: `j-` and up to 20 digits.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// The fields of a submission, by their names on the wire. Null counts as missing.
struct Fields(HashMap<String, Value>);

impl Fields {
    fn get(&self, name: &'static str) -> Option<&Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }
    fn required(&self, name: &'static str) -> Result<&Value, InvalidJob> {
        self.get(name).ok_or(InvalidJob::Missing(name))
    }
    fn text_of(value: &Value, name: &'static str) -> Result<String, InvalidJob> {
        match value.as_text() {
            Some(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => Ok(text.to_owned()),
            _ => Err(InvalidJob::Invalid(name)),
        }
    }
    fn text(&self, name: &'static str) -> Result<String, InvalidJob> {
        Self::text_of(self.required(name)?, name)
    }
    fn amount(&self, name: &'static str) -> Result<f64, InvalidJob> {
        let number = match self.required(name)? {
            Value::Float(number) => *number,
            Value::Integer(number) => i128::from(*number) as f64,
            _ => return Err(InvalidJob::Invalid(name)),
        };
        if (0.0..=MAX_AMOUNT).contains(&number) {
            Ok(number)
        } else {
            Err(InvalidJob::Invalid(name))
        }
    }
    fn count(&self, name: &'static str) -> Result<u64, InvalidJob> {
        self.required(name)?
            .as_integer()
            .and_then(|number| u64::try_from(number).ok())
            .ok_or(InvalidJob::Invalid(name))
    }
    fn flag(&self, name: &'static str) -> Result<bool, InvalidJob> {
        self.required(name)?
            .as_bool()
            .ok_or(InvalidJob::Invalid(name))
    }
    fn choice<T: for<'de> Deserialize<'de>>(&self, name: &'static str) -> Result<T, InvalidJob> {
        cbor::from_value(self.required(name)?).map_err(|_| InvalidJob::Invalid(name))
    }
}

/// Parses and validates the body of a submission. `submitted_at` is the wall-clock time at which the submission
/// arrived, in seconds.
pub fn parse_submission(body: &[u8], submitted_at: f64) -> Result<JobSpec, InvalidJob> {
    let value: Value = cbor::decode(body).map_err(|_| InvalidJob::NotAMap)?;
    let pairs = value.into_map().map_err(|_| InvalidJob::NotAMap)?;
    let mut map = HashMap::with_capacity(pairs.len());
    for (key, item) in pairs {
        let key = key.into_text().map_err(|_| InvalidJob::NotAMap)?;
        map.insert(key, item);
    }
    let fields = Fields(map);
    let id = fields.text("NameId")?;
    if !is_valid_job_id(&id) {
        return Err(InvalidJob::Invalid("NameId"));
    }
    let tasks = fields.count("Steps")?;
    if !(1..=MAX_TASKS).contains(&tasks) {
        return Err(InvalidJob::Invalid("Steps"));
    }
    let instance_types = match fields.get("Flavors") {
        None => None,
        Some(Value::Array(items)) if !items.is_empty() && items.len() <= MAX_INSTANCE_TYPES => {
            Some(
                items
                    .iter()
                    .map(|item| Fields::text_of(item, "Flavors"))
                    .collect::<Result<Vec<_>, _>>()?,
            )
        }
        Some(_) => return Err(InvalidJob::Invalid("Flavors")),
    };
    let zone = match fields.get("Grove") {
        None => None,
        Some(value) => Some(Fields::text_of(value, "Grove")?),
    };
    let deadline_s = match fields.get("DueS") {
        None => None,
        Some(_) => Some(fields.amount("DueS")?),
    };
    Ok(JobSpec {
        id,
        class: fields.text("Jobclass")?,
        team: fields.text("Owner")?,
        kind: fields.choice("Shape")?,
        priority: fields.choice("Rank")?,
        tasks: tasks as u32,
        cpus: fields.amount("Cores")?,
        gpus: fields.amount("Gpus")?,
        ram_gb: fields.amount("RamGb")?,
        instance_types,
        zone,
        one_zone: fields.flag("OneZone")?,
        spread: fields.flag("Spread")?,
        spot: fields.flag("Windfall")?,
        image: fields.text("Bundle")?,
        image_gb: fields.amount("PullGb")?,
        expected_runtime_s: fields.amount("ExpectS")?,
        checkpoint_interval_s: fields.amount("SnapshotS")?,
        checkpoint_grace_s: fields.amount("FlushS")?,
        deadline_s,
        submitted_at,
    })
}

/// Status of a job, as reported to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// The job is open, and none of its tasks is running.
    Queued,
    /// The job is open, and at least one of its tasks is running.
    Running,
    /// All tasks are complete.
    Done,
    /// The job was cancelled.
    Aborted,
}

/// Response to submissions and cancellations.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Id of the submitted or cancelled job.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Status of the job after the request.
    #[serde(rename = "Status")]
    pub status: JobStatus,
}

/// Response to status requests.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the requested job.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Status of the job when the request was handled.
    #[serde(rename = "Status")]
    pub status: JobStatus,
    /// Number of completed tasks; may lag behind the job's actual progress.
    pub done: u32,
    /// Number of running tasks; may lag behind the job's actual progress.
    pub running: u32,
}

/// Body of an error response, whether a controller sends it to a user or the cloud sends it to a controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Text that says why the request was not executed.
    pub error: String,
}
