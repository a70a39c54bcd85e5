//! Seeds of the digest (`examples/digest.rs`) whose simulations violated an invariant until the cause was corrected.
//! The causes are described in docs/incidents.

mod world;

use world::digest;

/// Workers restarted and lost their incarnations. Then tasks ran on two workers at a time (rule `ran_twice`) and, in
/// the first seed, a team also exceeded its limit (rule `quota`). See
/// docs/incidents/2026-12-03-forgotten-incarnations.md.
#[test]
fn workers_that_lose_their_incarnations() {
    for seed in [292, 294, 332, 363] {
        assert_eq!(
            digest::run_seed(seed).violations,
            Vec::<String>::new(),
            "seed {seed}: invariants were violated"
        );
    }
}
