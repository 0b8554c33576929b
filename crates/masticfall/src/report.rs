//! Plain-text tables and times for terminal output.

/// Formats rows in aligned columns under a header.
pub fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_string()).collect();
    let lines = std::iter::once(&header).chain(rows).map(|row| format_row(row, &widths));
    lines.collect::<Vec<_>>().concat()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    let text = cells.collect::<Vec<_>>().join("  ");
    format!("{}\n", text.trim_end())
}

/// Formats a wall-clock time as `YYYY-MM-DD HH:MM:SS.mmm` in UTC.
pub fn wall_clock(wall_ms: u64) -> String {
    const MS_PER_DAY: u64 = 86_400_000;
    let days = (wall_ms / MS_PER_DAY) as i64;
    let ms = wall_ms % MS_PER_DAY;
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
    let (second, milli) = (ms / 1_000 % 60, ms % 1_000);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}.{milli:03}")
}

/// Converts days since 1970-01-01 to a date of the proleptic Gregorian calendar.
///
/// Counts in eras of 400 years that start on 1 March, which makes the leap day
/// the last day of a year.
fn civil_date(days: i64) -> (i64, i64, i64) {
    const DAYS_PER_ERA: i64 = 146_097;
    /// From 0000-03-01 to 1970-01-01.
    const DAYS_TO_1970: i64 = 719_468;
    let shifted = days + DAYS_TO_1970;
    let era = shifted.div_euclid(DAYS_PER_ERA);
    let day_of_era = shifted.rem_euclid(DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year, month, day)
}
