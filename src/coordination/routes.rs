//! Routing of HTTP requests of users, workers and the load balancer.

use crate::protocol::job;

/// The operation that is requested by method and path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// Health check, by which the load balancer finds out whether it may send users to this controller.
    Health,
    /// Heartbeat of a worker.
    Report,
    /// Submission of a job.
    Submit,
    /// Poll of a job, with the id of the job.
    Poll(&'a str),
    /// Cancellation of a job, with the id of the job.
    Cancel(&'a str),
}

/// Why a request matches no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route has this path, whatever the method.
    #[error("no such path")]
    NoSuchPath,
    /// The path does not support this method.
    #[error("wrong method")]
    WrongMethod,
    /// The method and path match a poll or cancellation, but the job id in the path is not valid.
    #[error("no such job")]
    NoSuchJob,
}

impl RouteError {
    /// HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            RouteError::NoSuchPath | RouteError::NoSuchJob => 404,
            RouteError::WrongMethod => 405,
        }
    }
}

impl Route<'_> {
    /// Parses the method and path of a request.
    pub fn parse<'a>(method: &str, path: &'a str) -> Result<Route<'a>, RouteError> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let (expected_method, route) = match segments.as_slice() {
            ["healthz"] => ("GET", Route::Health),
            ["v1", "report"] => ("POST", Route::Report),
            ["work"] => ("POST", Route::Submit),
            ["work", id] if !id.is_empty() => ("GET", Route::Poll(id)),
            ["work", id, "cancel"] if !id.is_empty() => ("POST", Route::Cancel(id)),
            _ => return Err(RouteError::NoSuchPath),
        };
        if method != expected_method {
            return Err(RouteError::WrongMethod);
        }
        match route {
            Route::Poll(id) | Route::Cancel(id) if !job::is_valid_job_id(id) => {
                Err(RouteError::NoSuchJob)
            }
            route => Ok(route),
        }
    }
}
