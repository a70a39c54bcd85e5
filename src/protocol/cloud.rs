//! The cloud's interface: instance types, and the creation, deletion and listing of instances.
//!
//! An instance runs one worker. A request to create instances carries an idempotency key: if the request is repeated
//! with the same key, the cloud creates no further instances and sends the same response. The listing shows the
//! instances as they were some seconds ago.

use super::cbor;
use super::http_status::{self, UnusableResponse, decode_body};
use super::job::ErrorBody;
use serde::{Deserialize, Serialize};

/// Maximum number of instances in one provisioning request.
pub const MAX_INSTANCES_PER_CREATE: u32 = 50;
/// Maximum number of instances in one delete request.
pub const MAX_INSTANCES_PER_DELETE: usize = 100;
/// Number of instances in a page of the listing.
pub const PAGE_SIZE: u32 = 500;
/// The error text in the response to a provisioning request for which the cloud has no instances.
const OUT_OF_CAPACITY: &str = "no capacity";

/// An instance type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceType {
    /// Name by which requests and instances refer to the type.
    #[serde(rename = "Label")]
    pub name: String,
    /// Number of CPU cores.
    #[serde(rename = "Cores", deserialize_with = "cbor::amount")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "Gpus", default, deserialize_with = "cbor::amount")]
    pub gpus: f64,
    /// Main memory in GB.
    #[serde(rename = "RamGb", deserialize_with = "cbor::amount")]
    pub ram_gb: f64,
    /// Size of the cache for container images, in GB.
    #[serde(rename = "LocalGb", default, deserialize_with = "cbor::amount")]
    pub image_cache_gb: f64,
    /// Rate at which images are pulled, in GB per second.
    #[serde(rename = "PullGbPerS", default, deserialize_with = "cbor::amount")]
    pub image_pull_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "Hourly", deserialize_with = "cbor::amount")]
    pub on_demand_price: f64,
    /// Current spot price per hour; `None` if there are no spot instances of this type.
    #[serde(
        rename = "MarketPrice",
        default,
        deserialize_with = "cbor::optional_amount"
    )]
    pub spot_price: Option<f64>,
    /// Typical boot time in seconds.
    #[serde(rename = "ReadyS", deserialize_with = "cbor::amount")]
    pub boot_time_s: f64,
    /// Zones in which the cloud offers this type.
    #[serde(rename = "Groves")]
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct InstanceTypeList {
    #[serde(rename = "Flavors")]
    instance_types: Vec<InstanceType>,
}

/// State of an instance, as the listing shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// The instance is booting.
    Starting,
    /// The instance has booted.
    Running,
    /// The instance has failed and stopped.
    Failed,
    /// A state that this version of the program does not know.
    #[serde(other)]
    Other,
}

/// An instance in the listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Instance {
    /// Name, which is also that of the instance's worker.
    #[serde(rename = "NameId")]
    pub name: String,
    /// The worker's address for direct calls; empty while unknown.
    #[serde(rename = "Endpoint", default)]
    pub endpoint: String,
    /// Name of the instance type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone in which the instance runs.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Whether the instance is a spot instance, rather than on-demand.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// State of the instance at the time that the listing shows.
    #[serde(rename = "Status")]
    pub status: InstanceStatus,
    /// Age of the instance in seconds, at the time that the listing shows.
    #[serde(rename = "AgeS", default, deserialize_with = "cbor::amount")]
    pub age_s: f64,
}

#[derive(Deserialize)]
struct InstancePage {
    #[serde(rename = "Hosts")]
    instances: Vec<Instance>,
    #[serde(rename = "More", default)]
    more: bool,
}

#[derive(Deserialize)]
struct CreatedInstances {
    #[serde(rename = "Hosts")]
    instances: Vec<String>,
}

/// A provisioning request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CreateInstances {
    /// Idempotency key, which no other request has; repetitions of this request have the same key.
    #[serde(rename = "Bid")]
    pub idempotency_key: String,
    /// Name of the requested instance type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone in which the instances are requested.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Whether spot instances are requested, rather than on-demand.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Number of instances requested, at most [`MAX_INSTANCES_PER_CREATE`].
    #[serde(rename = "Count")]
    pub count: u32,
}

#[derive(Serialize)]
struct DeleteInstancesBody<'a> {
    #[serde(rename = "Hosts")]
    instances: &'a [String],
}

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// List the instance types.
    ListInstanceTypes,
    /// Create instances.
    CreateInstances(CreateInstances),
    /// Delete the instances with these names.
    DeleteInstances(Vec<String>),
    /// List a page of the instances, in the order of their names, that starts after this name; `None` for the first
    /// page.
    ListInstances(Option<String>),
}

/// The outcome of a request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// All instance types.
    InstanceTypes(Vec<InstanceType>),
    /// Names of the new instances, which may be fewer than requested.
    Created(Vec<String>),
    /// Not executed: the cloud has no instance of the requested type in the requested zone, spot or on-demand as
    /// requested.
    InsufficientCapacity,
    /// The instances have been deleted.
    Deleted,
    /// A page of the listing.
    Page {
        /// Instances in the order of their names.
        instances: Vec<Instance>,
        /// Whether more pages follow.
        more: bool,
    },
    /// Not executed: the rate limit is exceeded.
    RateLimited,
    /// Not executed: the cloud's API has an outage.
    Unavailable,
    /// Not executed: the cloud considers the request malformed.
    InvalidRequest,
    /// There was no usable response; the request may be executed at any later time.
    OutcomeUnknown,
}

impl CloudRequest {
    /// Method, path and body of the HTTP request.
    pub fn http_request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            CloudRequest::ListInstanceTypes => ("GET", "/machine_types".to_owned(), Vec::new()),
            CloudRequest::CreateInstances(request) => {
                ("POST", "/machines".to_owned(), cbor::encode(request))
            }
            CloudRequest::DeleteInstances(instances) => (
                "POST",
                "/machines/delete".to_owned(),
                cbor::encode(&DeleteInstancesBody { instances }),
            ),
            CloudRequest::ListInstances(None) => {
                ("GET", format!("/machines?Page={PAGE_SIZE}"), Vec::new())
            }
            CloudRequest::ListInstances(Some(after)) => (
                "GET",
                format!("/machines?From={after}&Page={PAGE_SIZE}"),
                Vec::new(),
            ),
        }
    }

    /// Interprets the status and body of the response to this request. If the response is unusable, the outcome of the
    /// request is unknown.
    pub fn response(&self, status: u16, body: &[u8]) -> CloudResponse {
        self.parse_response(status, body)
            .unwrap_or(CloudResponse::OutcomeUnknown)
    }

    fn parse_response(&self, status: u16, body: &[u8]) -> Result<CloudResponse, UnusableResponse> {
        match (self, status) {
            (CloudRequest::ListInstanceTypes, http_status::OK) => {
                decode_body(body, |list: InstanceTypeList| {
                    CloudResponse::InstanceTypes(list.instance_types)
                })
            }
            (CloudRequest::CreateInstances(_), http_status::OK) => {
                decode_body(body, |created: CreatedInstances| {
                    CloudResponse::Created(created.instances)
                })
            }
            (CloudRequest::DeleteInstances(_), http_status::OK) => Ok(CloudResponse::Deleted),
            (CloudRequest::ListInstances(_), http_status::OK) => {
                decode_body(body, |page: InstancePage| CloudResponse::Page {
                    instances: page.instances,
                    more: page.more,
                })
            }
            (CloudRequest::CreateInstances(_), http_status::SERVICE_UNAVAILABLE)
                if is_out_of_capacity(body) =>
            {
                Ok(CloudResponse::InsufficientCapacity)
            }
            (_, http_status::SERVICE_UNAVAILABLE) => Ok(CloudResponse::Unavailable),
            (_, http_status::TOO_MANY_REQUESTS) => Ok(CloudResponse::RateLimited),
            (_, http_status::BAD_REQUEST) => Ok(CloudResponse::InvalidRequest),
            _ => Err(UnusableResponse::UnexpectedStatus(status)),
        }
    }
}

/// Whether the body of a response with status 503 says that the cloud has no capacity. With any other body, the status
/// means an outage.
fn is_out_of_capacity(body: &[u8]) -> bool {
    cbor::decode::<ErrorBody>(body).is_ok_and(|response| response.error == OUT_OF_CAPACITY)
}
