//! Finds the ends of events in a stream of bytes.

/// Longest line that is kept to read an id from it; a longer id is not recognized.
const MAX_ID_LINE: usize = 512;
/// Field name of an id, with its colon.
const ID_FIELD: &[u8] = b"id:";

/// What a piece of a stream contains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ScannedPiece {
    /// Number of events that end in the piece.
    pub(crate) events: u32,
    /// Length of the part of the piece after which no event is open; 0 if there is none.
    pub(crate) whole: usize,
}

/// Position in a stream of events.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventScanner {
    /// Beginning of the current line.
    line: Vec<u8>,
    /// Length of the current line.
    line_length: usize,
    /// Whether the last byte was a CR, which an LF may follow.
    is_after_cr: bool,
    /// Whether the current event has a field.
    has_fields: bool,
    /// Id of the current event.
    next_id: Option<String>,
    /// Id of the last complete event that had one.
    last_id: Option<String>,
}

impl EventScanner {
    pub(crate) fn scan(&mut self, bytes: &[u8]) -> ScannedPiece {
        let mut piece = ScannedPiece::default();
        for (index, byte) in bytes.iter().enumerate() {
            let is_after_cr = std::mem::take(&mut self.is_after_cr);
            match byte {
                // The second byte of a line end.
                b'\n' if is_after_cr => {}
                b'\n' | b'\r' => {
                    self.is_after_cr = *byte == b'\r';
                    piece.events += u32::from(self.end_line());
                }
                _ => {
                    self.line_length += 1;
                    if self.line.len() < MAX_ID_LINE {
                        self.line.push(*byte);
                    }
                }
            }
            if !self.is_inside_event() {
                piece.whole = index + 1;
            }
        }
        piece
    }

    /// Ends the current line; returns whether that ends an event.
    fn end_line(&mut self) -> bool {
        let length = std::mem::take(&mut self.line_length);
        if length == 0 {
            if let Some(id) = self.next_id.take() {
                self.last_id = Some(id);
            }
            return std::mem::take(&mut self.has_fields);
        }
        if self.line.first() != Some(&b':') {
            self.has_fields = true;
            let is_kept = length == self.line.len();
            let id = self.line.strip_prefix(ID_FIELD).filter(|_| is_kept);
            if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
                self.next_id = Some(id.trim().to_owned());
            }
        }
        self.line.clear();
        false
    }

    /// Whether an event has begun and not ended.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.has_fields || self.line_length > 0
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the current event.
    pub(crate) fn drop_event(&mut self) {
        *self = Self {
            last_id: self.last_id.take(),
            ..Self::default()
        };
    }
}
