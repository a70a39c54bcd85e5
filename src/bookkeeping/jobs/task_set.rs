//! A set of task indices, as a bitmap.

/// A set of task indices of one job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    /// Bitmap: bit `index % 64` of word `index / 64` is set if the set contains `index`.
    words: Vec<u64>,
    /// Number of bits set in `words`.
    count: u32,
}

impl TaskSet {
    /// An empty set that can hold the indices below `size`, rounded up to a multiple of 64.
    pub fn new(size: u32) -> TaskSet {
        TaskSet {
            words: vec![0; size.div_ceil(64) as usize],
            count: 0,
        }
    }

    /// Adds an index. Returns false if the set contains the index already, or if the index is out of range.
    pub fn insert(&mut self, index: u32) -> bool {
        let Some(word) = self.words.get_mut((index / 64) as usize) else {
            return false;
        };
        let bit = 1 << (index % 64);
        if *word & bit != 0 {
            return false;
        }
        *word |= bit;
        self.count += 1;
        true
    }

    /// Whether an index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / 64) as usize)
            .is_some_and(|word| word & (1 << (index % 64)) != 0)
    }

    /// Number of indices in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
