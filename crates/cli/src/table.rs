//! Plain-text tables.

/// Formats rows under a header; each column is as wide as its widest cell.
pub fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut width = header.map(|h| h.chars().count());
    for row in rows {
        for (w, cell) in width.iter_mut().zip(row) {
            *w = (*w).max(cell.chars().count());
        }
    }
    let line = |cells: &[&str]| {
        let padded: Vec<_> = cells.iter().zip(width).map(|(c, w)| format!("{c:<w$}")).collect();
        padded.join("  ").trim_end().to_owned() + "\n"
    };
    let mut out = line(&header);
    for row in rows {
        let cells: Vec<_> = row.iter().map(String::as_str).collect();
        out += &line(&cells);
    }
    out
}
