//! The stored form of a job's completed tasks: chunks of a bitmap, in hexadecimal.

use crate::bookkeeping::jobs::TaskSet;

/// Tasks in a chunk of a job's completed tasks.
pub const TASKS_PER_CHUNK: u32 = 256;
/// Tasks that one hexadecimal digit stands for.
pub(super) const TASKS_PER_DIGIT: u32 = 4;

/// The bitmap of a chunk of a job with so many tasks: four tasks per digit, the lowest bit first.
pub fn encode_chunk(completed: &TaskSet, chunk: u32, tasks: u32) -> String {
    let first = chunk * TASKS_PER_CHUNK;
    let end = (first + TASKS_PER_CHUNK).min(tasks);
    (first..end)
        .step_by(TASKS_PER_DIGIT as usize)
        .filter_map(|first_of_digit| {
            let digit = (0..TASKS_PER_DIGIT).fold(0, |digit, bit| {
                digit | (u32::from(completed.contains(first_of_digit + bit)) << bit)
            });
            char::from_digit(digit, 16)
        })
        .collect()
}

/// Indices of the completed tasks in the bitmap of a chunk. Characters that are no digits count as 0.
pub fn decode_chunk(chunk: u32, bitmap: &str) -> impl Iterator<Item = u32> + '_ {
    bitmap
        .chars()
        .take((TASKS_PER_CHUNK / TASKS_PER_DIGIT) as usize)
        .enumerate()
        .flat_map(move |(position, digit)| {
            let digit = digit.to_digit(16).unwrap_or(0);
            let first_of_digit = chunk
                .saturating_mul(TASKS_PER_CHUNK)
                .saturating_add(position as u32 * TASKS_PER_DIGIT);
            (0..TASKS_PER_DIGIT)
                .filter(move |bit| digit & (1 << bit) != 0)
                .map(move |bit| first_of_digit + bit)
        })
}
