//! The stored form of a job's completed tasks: a bitmap, divided into chunks and written in hexadecimal.

use crate::bookkeeping::jobs::TaskSet;

/// Number of tasks in a chunk of the bitmap.
pub const TASKS_PER_CHUNK: u32 = 256;
/// Number of tasks that one hexadecimal digit encodes.
pub(super) const TASKS_PER_DIGIT: u32 = 4;

/// Encodes the chunk with this number of the bitmap of a job with `tasks` tasks: four tasks per digit, the lowest bit
/// first.
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

/// Decodes the bitmap of the chunk with this number into the indices of the completed tasks. A character that is not a
/// hexadecimal digit counts as 0.
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
