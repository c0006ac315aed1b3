use std::io;

/// The start of the comment that `show` writes into files, and from which `apply` learns the
/// revision that an edit started from.
const HEADER: &str = "# comfreychute revision ";

/// Returns the comment for a revision.
pub(super) fn to_header(revision: u64) -> String {
    format!("{HEADER}{revision}\n")
}

/// Finds the revision in the leading comments of a file.
pub(super) fn from_text(text: &str) -> Option<u64> {
    text.lines()
        .take_while(|line| line.is_empty() || line.starts_with('#'))
        .find_map(|line| line.strip_prefix(HEADER)?.trim().parse().ok())
}

/// Updates the comment of a file after its content was accepted, so that the next edit of the same
/// file starts from the new revision. Files without the comment stay as they are.
pub(super) fn update_file(path: &str, revision: u64) -> io::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let Some(before) = from_text(&text) else {
        return Ok(());
    };
    std::fs::write(
        path,
        text.replacen(&to_header(before), &to_header(revision), 1),
    )
}
