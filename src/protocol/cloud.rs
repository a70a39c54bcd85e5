//! The cloud's interface: instance types, and the creation, deletion and listing of instances.
//!
//! An instance runs one worker. A request to create instances carries an idempotency key: repeated, it creates
//! nothing more and has the same response. The listing lags behind by some seconds.

use super::cbor;
use super::http_status::{self, UnusableResponse, decode_body};
use super::job::ErrorBody;
use serde::{Deserialize, Serialize};

/// The most instances of one provisioning request.
pub const MAX_INSTANCES_PER_CREATE: u32 = 50;
/// The most instances of one deletion.
pub const MAX_INSTANCES_PER_DELETE: usize = 100;
/// Instances in a page of the list.
pub const PAGE_SIZE: u32 = 500;
/// The error of a provisioning request that the cloud has no instances for.
const OUT_OF_CAPACITY: &str = "no capacity";

/// An instance type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceType {
    /// Name.
    #[serde(rename = "Label")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "Cores", deserialize_with = "cbor::amount")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "Gpus", default, deserialize_with = "cbor::amount")]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "RamGb", deserialize_with = "cbor::amount")]
    pub ram_gb: f64,
    /// Space for cached images in GB.
    #[serde(rename = "LocalGb", default, deserialize_with = "cbor::amount")]
    pub image_cache_gb: f64,
    /// Rate at which images are pulled, in GB per second.
    #[serde(rename = "PullGbPerS", default, deserialize_with = "cbor::amount")]
    pub image_pull_gb_per_s: f64,
    /// On-demand price per hour.
    #[serde(rename = "Hourly", deserialize_with = "cbor::amount")]
    pub on_demand_price: f64,
    /// Present spot price per hour.
    #[serde(
        rename = "MarketPrice",
        default,
        deserialize_with = "cbor::optional_amount"
    )]
    pub spot_price: Option<f64>,
    /// Usual boot time in seconds.
    #[serde(rename = "ReadyS", deserialize_with = "cbor::amount")]
    pub boot_time_s: f64,
    /// Zones in which it is offered.
    #[serde(rename = "Groves")]
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct InstanceTypeList {
    #[serde(rename = "Flavors")]
    instance_types: Vec<InstanceType>,
}

/// State of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceStatus {
    /// Booting.
    Starting,
    /// Up.
    Running,
    /// Stopped by itself.
    Failed,
    /// A state this version does not know.
    #[serde(other)]
    Other,
}

/// An instance in the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    #[serde(rename = "NameId")]
    pub name: String,
    /// The worker's address for direct calls; empty while unknown.
    #[serde(rename = "Endpoint", default)]
    pub endpoint: String,
    /// Instance type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Spot instance, rather than on-demand.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// State.
    #[serde(rename = "Status")]
    pub status: InstanceStatus,
    /// Age in seconds at the time that the list describes.
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
    /// Idempotency key; never used for another request.
    #[serde(rename = "Bid")]
    pub idempotency_key: String,
    /// Instance type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Spot instances, rather than on-demand.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "Count")]
    pub count: u32,
}

#[derive(Serialize)]
struct Names<'a> {
    #[serde(rename = "Hosts")]
    instances: &'a [String],
}

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// The instance catalog.
    ListInstanceTypes,
    /// Rent instances.
    CreateInstances(CreateInstances),
    /// Delete the instances with these names.
    DeleteInstances(Vec<String>),
    /// List a page of instances, after this name.
    ListInstances(Option<String>),
}

/// What came of a request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The instance catalog.
    InstanceTypes(Vec<InstanceType>),
    /// The names of the new instances; may be fewer than asked for.
    Created(Vec<String>),
    /// Not executed: none available of this type, in this zone, of this kind.
    InsufficientCapacity,
    /// The instances are gone.
    Deleted,
    /// A page of the list.
    Page {
        /// Instances in the order of their names.
        instances: Vec<Instance>,
        /// Whether more follow.
        more: bool,
    },
    /// Not executed: over the rate limit.
    RateLimited,
    /// Not executed: an outage.
    Unavailable,
    /// Not executed: malformed, says the cloud.
    InvalidRequest,
    /// No usable response; the request may be executed at any later time.
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
                cbor::encode(&Names { instances }),
            ),
            CloudRequest::ListInstances(None) => {
                ("GET", format!("/machines?Page={PAGE_SIZE}"), Vec::new())
            }
            CloudRequest::ListInstances(Some(from)) => (
                "GET",
                format!("/machines?From={from}&Page={PAGE_SIZE}"),
                Vec::new(),
            ),
        }
    }

    /// The meaning of a response. One that is not usable leaves the outcome unknown.
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

/// Whether a 503 says that a pool is sold out; without such a body it is an outage.
fn is_out_of_capacity(body: &[u8]) -> bool {
    cbor::decode::<ErrorBody>(body).is_ok_and(|refusal| refusal.error == OUT_OF_CAPACITY)
}
