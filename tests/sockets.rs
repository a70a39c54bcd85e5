//! Tests of the socket budget: how many sockets each kind of connection gets, and that the sum stays within
//! `max_sockets` of the settings.

use cedarladder::daemon::sockets::SocketBudget;
use cedarladder::settings::Settings;

/// Settings with a socket limit and a number of peers (other controllers).
fn settings(max_sockets: usize, peers: usize) -> Settings {
    let seeds: String = (0..peers)
        .map(|n| {
            format!(
                "[[seeds]]\nlabel = \"rung-{n}\"\naddress = \"127.0.0.1:{}\"\n",
                7100 + n
            )
        })
        .collect();
    let text = format!(
        r#"
label = "rung-x"
site = "a"
bind = "127.0.0.1:7000"
peer_bind = "127.0.0.1:7001"
{seeds}
[services]
cloud = "127.0.0.1:7002"
state = "127.0.0.1:7003"
[deployment]
initial_size = 3
zones = ["a"]
[deployment.workers]
report_s = 2.0
lease_s = 10.0
cancel_s = 30.0
[deployment.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 64
[deployment.cloud]
rps = 2.0
list_lag_s = 2.0
[deployment.quota]
core_share = 1.0
mem_mb = 256.0
max_sockets = {max_sockets}
"#
    );
    Settings::parse(&text).expect("the settings are invalid")
}

#[test]
fn requests_get_the_sockets_that_are_not_reserved() {
    let budget = SocketBudget::new(&settings(2080, 2));
    let expected = SocketBudget {
        // Subtracted: 249 for direct calls, 8 for connections to and from peers, 28 for the state service, 4 for the
        // cloud, and 62 that no kind of connection may use.
        requests: 2080 - 249 - 8 - 28 - 4 - 62,
        incoming_peers: 6,
        state_service: 28,
        cloud: 4,
        direct_calls: 249,
    };
    assert_eq!(budget, expected);
}

#[test]
fn the_sum_stays_within_the_limit() {
    for max_sockets in [64, 256, 1000, 2080, 5000] {
        for peers in [0, 2, 4] {
            let budget = SocketBudget::new(&settings(max_sockets, peers));
            let sum = budget.requests
                + budget.incoming_peers
                + peers
                + budget.state_service
                + budget.cloud
                + budget.direct_calls;
            assert!(
                sum <= max_sockets,
                "the budget has {sum} sockets, the limit is {max_sockets}, with {peers} peers: {budget:?}"
            );
        }
    }
}

#[test]
fn requests_get_a_socket_even_if_the_limit_is_below_the_reserved_number() {
    assert_eq!(SocketBudget::new(&settings(32, 4)).requests, 1);
}
