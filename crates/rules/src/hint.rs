//! Suggests a known word for a misspelled one.

/// Maximum edit distance of a suggested word.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the word of `known` with the smallest edit distance to `word`, or
/// `None` if all words differ too much.
pub fn find_nearest_word<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // Any two short words are only a few edits apart, so a shorter word has a smaller
    // maximum.
    let max_distance = MAX_EDIT_DISTANCE.min(word.chars().count().div_ceil(3));
    known
        .filter(|candidate| candidate.len().abs_diff(word.len()) <= max_distance)
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, candidate)| candidate)
}
