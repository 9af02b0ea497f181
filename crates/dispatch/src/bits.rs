//! Two-level bit sets over dense target numbers: a search skips 4,096 absent members at a time.

/// Bits in a word.
const WORD: usize = 64;

/// A set of small numbers.
#[derive(Debug, Clone, Default)]
pub(crate) struct Bits {
    words: Vec<u64>,
    summary: Vec<u64>,
}

impl Bits {
    /// Puts `id` in or takes it out.
    pub(crate) fn set(&mut self, id: u32, member: bool) {
        let word = id as usize / WORD;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
            self.summary.resize(word / WORD + 1, 0);
        }
        let bit = 1 << (id as usize % WORD);
        if member {
            self.words[word] |= bit;
        } else {
            self.words[word] &= !bit;
        }
        let mark = 1 << (word % WORD);
        match self.words[word] {
            0 => self.summary[word / WORD] &= !mark,
            _ => self.summary[word / WORD] |= mark,
        }
    }

    /// True if `id` is a member.
    pub(crate) fn has(&self, id: u32) -> bool {
        self.words.get(id as usize / WORD).is_some_and(|bits| bits >> (id as usize % WORD) & 1 == 1)
    }

    /// True if no number is a member.
    pub(crate) fn is_empty(&self) -> bool {
        self.summary.iter().all(|&word| word == 0)
    }

    /// The members, lowest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u32> {
        self.words.iter().enumerate().flat_map(|(at, &bits)| ones(bits).map(move |bit| (at * WORD) as u32 + bit))
    }

    /// The first member of both sets that `accept` takes, seen from `start` upwards and then from 0.
    pub(crate) fn find_both(&self, other: &Self, start: u32, mut accept: impl FnMut(u32) -> bool) -> Option<u32> {
        if self.words.len().min(other.words.len()) <= WORD && !self.meets(other) {
            return None;
        }
        let from = start as usize / WORD;
        let low = u64::MAX << (start as usize % WORD);
        let first = self.both(other, from) & low;
        let hit = ones(first).map(|bit| (from * WORD) as u32 + bit).find(|&id| accept(id));
        hit.or_else(|| self.scan(other, from + 1, usize::MAX, &mut accept))
            .or_else(|| self.scan(other, 0, from, &mut accept))
            .or_else(|| {
                ones(self.both(other, from) & !low).map(|bit| (from * WORD) as u32 + bit).find(|&id| accept(id))
            })
    }

    /// True if the first 64 words may share a member.
    fn meets(&self, other: &Self) -> bool {
        self.summary.first().zip(other.summary.first()).is_some_and(|(one, two)| one & two != 0)
    }

    fn both(&self, other: &Self, word: usize) -> u64 {
        self.words.get(word).copied().unwrap_or(0) & other.words.get(word).copied().unwrap_or(0)
    }

    /// Searches the words from `from` up to and without `to`.
    fn scan(&self, other: &Self, from: usize, to: usize, accept: &mut impl FnMut(u32) -> bool) -> Option<u32> {
        let to = to.min(self.words.len()).min(other.words.len());
        let mut word = from;
        while word < to {
            let group = word / WORD;
            let marks = (self.summary[group] & other.summary[group]) >> (word % WORD);
            if marks == 0 {
                word = (group + 1) * WORD;
                continue;
            }
            word += marks.trailing_zeros() as usize;
            if word >= to {
                return None;
            }
            let hit = ones(self.both(other, word)).map(|bit| (word * WORD) as u32 + bit).find(|&id| accept(id));
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
