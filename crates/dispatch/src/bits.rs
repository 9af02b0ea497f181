//! Two-level bit sets over dense target numbers: a search skips 4,096 absent members at a time.

/// Bits in a word.
const WORD_BITS: usize = 64;

/// A set of small numbers.
#[derive(Debug, Clone, Default)]
pub(crate) struct BitSet {
    words: Vec<u64>,
    summary: Vec<u64>,
}

impl BitSet {
    /// Puts `id` in or takes it out.
    pub(crate) fn set(&mut self, id: u32, member: bool) {
        let word = id as usize / WORD_BITS;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
            self.summary.resize(word / WORD_BITS + 1, 0);
        }
        let bit = 1 << (id as usize % WORD_BITS);
        if member {
            self.words[word] |= bit;
        } else {
            self.words[word] &= !bit;
        }
        let mark = 1 << (word % WORD_BITS);
        match self.words[word] {
            0 => self.summary[word / WORD_BITS] &= !mark,
            _ => self.summary[word / WORD_BITS] |= mark,
        }
    }

    /// True if `id` is a member.
    pub(crate) fn contains(&self, id: u32) -> bool {
        self.words.get(id as usize / WORD_BITS).is_some_and(|bits| bits >> (id as usize % WORD_BITS) & 1 == 1)
    }

    /// True if no number is a member.
    pub(crate) fn is_empty(&self) -> bool {
        self.summary.iter().all(|&word| word == 0)
    }

    /// The members, lowest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u32> {
        self.words.iter().enumerate().flat_map(|(at, &bits)| ones(bits).map(move |bit| (at * WORD_BITS) as u32 + bit))
    }

    /// The first member of both sets that `accept` takes, seen from `start` upwards and then from 0.
    pub(crate) fn find_common(&self, other: &Self, start: u32, mut accept: impl FnMut(u32) -> bool) -> Option<u32> {
        if self.words.len().min(other.words.len()) <= WORD_BITS && !self.may_intersect(other) {
            return None;
        }
        let from = start as usize / WORD_BITS;
        let low = u64::MAX << (start as usize % WORD_BITS);
        let first = self.intersect_word(other, from) & low;
        let hit = ones(first).map(|bit| (from * WORD_BITS) as u32 + bit).find(|&id| accept(id));
        hit.or_else(|| self.scan(other, from + 1, usize::MAX, &mut accept))
            .or_else(|| self.scan(other, 0, from, &mut accept))
            .or_else(|| {
                ones(self.intersect_word(other, from) & !low)
                    .map(|bit| (from * WORD_BITS) as u32 + bit)
                    .find(|&id| accept(id))
            })
    }

    /// True if the first 64 words may share a member.
    fn may_intersect(&self, other: &Self) -> bool {
        self.summary.first().zip(other.summary.first()).is_some_and(|(one, two)| one & two != 0)
    }

    fn intersect_word(&self, other: &Self, word: usize) -> u64 {
        self.words.get(word).copied().unwrap_or(0) & other.words.get(word).copied().unwrap_or(0)
    }

    /// Searches the words from `from` up to and without `to`.
    fn scan(&self, other: &Self, from: usize, to: usize, accept: &mut impl FnMut(u32) -> bool) -> Option<u32> {
        let to = to.min(self.words.len()).min(other.words.len());
        let mut word = from;
        while word < to {
            let group = word / WORD_BITS;
            let marks = (self.summary[group] & other.summary[group]) >> (word % WORD_BITS);
            if marks == 0 {
                word = (group + 1) * WORD_BITS;
                continue;
            }
            word += marks.trailing_zeros() as usize;
            if word >= to {
                return None;
            }
            let hit = ones(self.intersect_word(other, word))
                .map(|bit| (word * WORD_BITS) as u32 + bit)
                .find(|&id| accept(id));
            if hit.is_some() {
                return hit;
            }
            word += 1;
        }
        None
    }
}

/// The positions of the set bits of a word, lowest first.
pub(crate) fn ones(mut bits: u64) -> impl Iterator<Item = u32> {
    std::iter::from_fn(move || {
        let bit = (bits != 0).then(|| bits.trailing_zeros())?;
        bits &= bits - 1;
        Some(bit)
    })
}
