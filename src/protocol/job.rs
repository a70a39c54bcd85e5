//! Jobs as users submit them: the wire form and its checks.

use super::cbor;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The most tasks a job may have.
pub const MAX_TASKS: u64 = 100_000;
/// The longest text we take in a field.
const MAX_TEXT: usize = 200;
/// The most instance types a job may name.
const MAX_INSTANCE_TYPES: usize = 64;
/// The largest amount we take in a field; far beyond any machine, and safe in sums.
const MAX_AMOUNT: f64 = 1e9;

/// Whether the tasks of a job complete or run until the job is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Gang scheduling: tasks that run to completion and need one another are started together. Not in the
    /// protocol's text, but its users' tools send it; see docs/questions.md.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// Before everything else.
    Production,
    /// Before normal work.
    Urgent,
    /// The usual.
    Normal,
    /// What is left over.
    BestEffort,
}

/// A job, as submitted and as kept in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, chosen by the user.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Class of jobs.
    #[serde(rename = "Jobclass")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "Owner")]
    pub team: String,
    /// Array or service.
    #[serde(rename = "Shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "Rank")]
    pub priority: PriorityClass,
    /// Number of tasks.
    #[serde(rename = "Steps")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(rename = "Cores", deserialize_with = "cbor::amount")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "Gpus", deserialize_with = "cbor::amount")]
    pub gpus: f64,
    /// Memory of each task.
    #[serde(rename = "RamGb", deserialize_with = "cbor::amount")]
    pub ram_gb: f64,
    /// Allowed instance types; none: any.
    #[serde(rename = "Flavors")]
    pub instance_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "Grove")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "OneZone")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "Spread")]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Image that the machine fetches first.
    #[serde(rename = "Bundle")]
    pub image: String,
    /// Its size.
    #[serde(rename = "PullGb", deserialize_with = "cbor::amount")]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "ExpectS", deserialize_with = "cbor::amount")]
    pub expected_runtime_s: f64,
    /// Checkpoint interval, 0 for none.
    #[serde(rename = "SnapshotS", deserialize_with = "cbor::amount")]
    pub checkpoint_interval_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "FlushS", deserialize_with = "cbor::amount")]
    pub checkpoint_grace_s: f64,
    /// Deadline from submission.
    #[serde(rename = "DueS", default, deserialize_with = "cbor::optional_amount")]
    pub deadline_s: Option<f64>,
    /// Time of day at which a controller took the job, in seconds; our own addition.
    #[serde(rename = "At", default, deserialize_with = "cbor::amount")]
    pub submitted_at: f64,
}

impl JobSpec {
    /// The most tasks of this job that may be in one zone.
    pub fn zone_limit(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the job may use a machine of this type, zone and kind.
    pub fn allows(&self, instance_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|only| only == zone)
            && self
                .instance_types
                .as_ref()
                .is_none_or(|instance_types| instance_types.iter().any(|f| f == instance_type))
    }
}

/// Why a submission is malformed (400).
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidJob {
    /// The body is not CBOR, or not a map.
    #[error("the body is not a CBOR map")]
    NotAMap,
    /// A field that must be there is not.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is of the wrong kind or out of range.
    #[error("{0} is invalid")]
    Invalid(&'static str),
}

/// Whether a text has the form that all job ids have.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

struct Fields(HashMap<String, Value>);

impl Fields {
    fn get(&self, name: &'static str) -> Option<&Value> {
        self.0.get(name).filter(|value| !value.is_null())
    }
    fn need(&self, name: &'static str) -> Result<&Value, InvalidJob> {
        self.get(name).ok_or(InvalidJob::Missing(name))
    }
    fn text_of(value: &Value, name: &'static str) -> Result<String, InvalidJob> {
        match value.as_text() {
            Some(text) if !text.is_empty() && text.len() <= MAX_TEXT => Ok(text.to_owned()),
            _ => Err(InvalidJob::Invalid(name)),
        }
    }
    fn text(&self, name: &'static str) -> Result<String, InvalidJob> {
        Self::text_of(self.need(name)?, name)
    }
    fn amount(&self, name: &'static str) -> Result<f64, InvalidJob> {
        let number = match self.need(name)? {
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
        self.need(name)?
            .as_integer()
            .and_then(|number| u64::try_from(number).ok())
            .ok_or(InvalidJob::Invalid(name))
    }
    fn flag(&self, name: &'static str) -> Result<bool, InvalidJob> {
        self.need(name)?.as_bool().ok_or(InvalidJob::Invalid(name))
    }
    fn choice<T: for<'de> Deserialize<'de>>(&self, name: &'static str) -> Result<T, InvalidJob> {
        cbor::from_value(self.need(name)?).map_err(|_| InvalidJob::Invalid(name))
    }
}

/// Reads a submission. `at` is the time of day at which it came.
pub fn parse_submission(body: &[u8], at: f64) -> Result<JobSpec, InvalidJob> {
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
        submitted_at: at,
    })
}

/// State of a job, as told to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Cancelled.
    Aborted,
}

/// Answer to submissions and cancels.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobAccepted {
    /// Job id.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Present state.
    #[serde(rename = "Status")]
    pub status: JobStatus,
}

/// Answer to polls.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobView {
    /// Job id.
    #[serde(rename = "NameId")]
    pub id: String,
    /// Present state.
    #[serde(rename = "Status")]
    pub status: JobStatus,
    /// Completed tasks, for display.
    pub done: u32,
    /// Running tasks, for display.
    pub running: u32,
}

/// Body of an answer that says no.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Why.
    pub error: String,
}
