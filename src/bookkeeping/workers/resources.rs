//! Amounts of CPU, GPU and memory, with their arithmetic.

use crate::protocol::cloud::InstanceType;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// Tolerance for the rounding errors of sums of decimal amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The result of [`Resources::count_fitting`] for a request whose amounts are all zero.
const MAX_EMPTY_REQUESTS: u32 = 1000;

/// Resources that an instance has or a task requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPU devices.
    pub gpus: f64,
    /// Memory in GB.
    pub ram_gb: f64,
}

impl Resources {
    /// Whether `request` fits into these resources.
    pub fn fits(&self, request: &Resources) -> bool {
        request.cpus <= self.cpus + ROUNDING_TOLERANCE
            && request.gpus <= self.gpus + ROUNDING_TOLERANCE
            && request.ram_gb <= self.ram_gb + ROUNDING_TOLERANCE
    }

    /// How many times `request` fits into these resources. Amounts that are zero in the request don't limit the number.
    pub fn count_fitting(&self, request: &Resources) -> u32 {
        let count_of = |available: f64, requested: f64| {
            if requested > 0.0 {
                ((available + ROUNDING_TOLERANCE) / requested)
                    .floor()
                    .max(0.0)
            } else {
                f64::INFINITY
            }
        };
        let count = count_of(self.cpus, request.cpus)
            .min(count_of(self.gpus, request.gpus))
            .min(count_of(self.ram_gb, request.ram_gb));
        if count.is_finite() {
            count as u32
        } else {
            MAX_EMPTY_REQUESTS
        }
    }

    /// The dominant share: the largest of the shares that these amounts of CPU, GPU and memory have in `total`. The
    /// share of a resource of which `total` has none is 0.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let share = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.ram_gb, total.ram_gb))
    }
}

impl From<&InstanceType> for Resources {
    /// The resources of one instance of this type.
    fn from(instance_type: &InstanceType) -> Resources {
        Resources {
            cpus: instance_type.cpus,
            gpus: instance_type.gpus,
            ram_gb: instance_type.ram_gb,
        }
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            ram_gb: self.ram_gb + other.ram_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            ram_gb: self.ram_gb - other.ram_gb,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

impl Mul<f64> for Resources {
    type Output = Resources;

    fn mul(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            ram_gb: self.ram_gb * factor,
        }
    }
}

impl Sum for Resources {
    fn sum<I: Iterator<Item = Resources>>(resources: I) -> Resources {
        resources.fold(Resources::default(), Resources::add)
    }
}
