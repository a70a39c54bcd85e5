//! Parsing of request methods and paths, and the HTTP statuses of requests that match no route.

use cedarladder::coordination::routes::{Route, RouteError};

#[test]
fn requests_are_routed_by_method_and_path() {
    let cases = [
        ("GET", "/healthz", Ok(Route::Health)),
        ("POST", "/v1/report", Ok(Route::Report)),
        ("POST", "/work", Ok(Route::Submit)),
        ("GET", "/work/j-000412", Ok(Route::Poll("j-000412"))),
        ("POST", "/work/j-1/cancel", Ok(Route::Cancel("j-1"))),
        ("GET", "/work", Err(RouteError::WrongMethod)),
        ("DELETE", "/work/j-1", Err(RouteError::WrongMethod)),
        ("GET", "/work/j-1/cancel", Err(RouteError::WrongMethod)),
        ("GET", "/work/", Err(RouteError::NoSuchPath)),
        ("GET", "/healthz/x", Err(RouteError::NoSuchPath)),
        ("POST", "/v1/report/x", Err(RouteError::NoSuchPath)),
        ("POST", "/work/j-1/cancel/x", Err(RouteError::NoSuchPath)),
        ("GET", "/work/nothing", Err(RouteError::NoSuchJob)),
        ("POST", "/work/j-1x/cancel", Err(RouteError::NoSuchJob)),
    ];
    for (method, path, expected) in cases {
        assert_eq!(Route::parse(method, path), expected, "{method} {path}");
    }
    let statuses = [
        (RouteError::NoSuchPath, 404),
        (RouteError::NoSuchJob, 404),
        (RouteError::WrongMethod, 405),
    ];
    for (error, status) in statuses {
        assert_eq!(error.status(), status, "{error}");
    }
}
