use std::io;

/// Prefix of the comment that `show` writes into files, and from which `apply` reads the base
/// revision of an edit.
const HEADER: &str = "# comfreychute revision ";

/// Returns the comment line for a revision.
pub(super) fn to_header(revision: u64) -> String {
    format!("{HEADER}{revision}\n")
}

/// Returns the revision from the leading comments of a file, if present.
pub(super) fn from_text(text: &str) -> Option<u64> {
    text.lines()
        .take_while(|line| line.is_empty() || line.starts_with('#'))
        .find_map(|line| line.strip_prefix(HEADER)?.trim().parse().ok())
}

/// Updates the comment of a file after its content was accepted, so that the new revision is the
/// base of the next edit. Files without the comment are left unchanged.
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
