//! Finds the word that was probably meant.

/// Largest edit distance of a word that is still suggested.
const MAX_DISTANCE: usize = 3;

/// Returns the known word that is nearest to `word`, if one is near enough.
pub fn nearest_word<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // A short word is near to everything unless fewer edits are allowed.
    let allowed = MAX_DISTANCE.min(word.chars().count().div_ceil(3));
    known
        .filter(|candidate| candidate.len().abs_diff(word.len()) <= allowed)
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}
