//! Seeds of the digest in which an invariant was violated once. The causes are described in docs/incidents.

mod world;

use world::digest;

/// Workers restarted and lost their incarnations, which violated the rule `ran_twice` and, in the first seed, also
/// `quota`.
/// See docs/incidents/2026-12-03-forgotten-incarnations.md.
#[test]
fn workers_that_lose_their_incarnations() {
    for seed in [292, 294, 332, 363] {
        assert_eq!(
            digest::run_seed(seed).violations,
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}
