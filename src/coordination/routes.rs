//! The paths that users, workers and the load balancer ask for.

use crate::protocol::job;

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route<'a> {
    /// The load balancer's probe.
    Health,
    /// A worker's report.
    Report,
    /// A user submits a job.
    Submit,
    /// A user asks about a job.
    Poll(&'a str),
    /// A user cancels a job.
    Cancel(&'a str),
}

/// Why a request is for nothing that there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No such path.
    #[error("no such path")]
    NoSuchPath,
    /// The path is there, for another method.
    #[error("wrong method")]
    WrongMethod,
    /// No job can have this id.
    #[error("no such job")]
    NoSuchJob,
}

impl RouteError {
    /// The status to answer with.
    pub fn status(self) -> u16 {
        match self {
            RouteError::NoSuchPath | RouteError::NoSuchJob => 404,
            RouteError::WrongMethod => 405,
        }
    }
}

impl Route<'_> {
    /// Reads a method and a path.
    pub fn parse<'a>(method: &str, path: &'a str) -> Result<Route<'a>, RouteError> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let (wanted, route) = match parts.as_slice() {
            ["healthz"] => ("GET", Route::Health),
            ["v1", "report"] => ("POST", Route::Report),
            ["work"] => ("POST", Route::Submit),
            ["work", id] if !id.is_empty() => ("GET", Route::Poll(id)),
            ["work", id, "cancel"] if !id.is_empty() => ("POST", Route::Cancel(id)),
            _ => return Err(RouteError::NoSuchPath),
        };
        if method != wanted {
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
