//! Storms of the digest that once broke a rule, played again. docs/incidents has the cause of each.

mod world;

use world::digest;

/// Machines restart and forget their incarnations: `ran_twice`, and `quota` in the first.
/// See docs/incidents/2026-12-03-forgotten-incarnations.md.
#[test]
fn machines_that_forget_their_incarnations() {
    for seed in [292, 294, 332, 363] {
        assert_eq!(
            digest::run_seed(seed).violations,
            Vec::<String>::new(),
            "seed {seed}"
        );
    }
}
