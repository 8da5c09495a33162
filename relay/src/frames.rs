//! Where in an HTTP/1.1 stream a byte lies: which message of this direction, and which part of it. No I/O, and no opinion:
//! what can't be followed (a head that says nothing of its length, or nonsense) counts as a body without end.

/// Part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Part {
    /// First line and fields, to the empty line.
    Head,
    /// A body of a length told before.
    Body,
    /// The line that tells a chunk's length.
    ChunkLength,
    /// A chunk's bytes, and the line end behind them.
    Chunk,
    /// Behind the last chunk.
    Trailer,
}

/// A place in a direction's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Number of the message, from 0.
    pub message: u64,
    /// Part of it.
    pub part: Part,
    /// Byte within that part (for chunks, within the present one).
    pub offset: u64,
}

/// A head longer than this is none.
const LONGEST_HEAD: usize = 64 * 1024;

#[derive(Debug, Clone)]
enum State {
    Head,
    Body(u64),
    Length(u64),
    Chunk(u64),
    Trailer,
    Endless,
}

/// Follows one direction byte by byte.
#[derive(Debug, Clone)]
pub struct Frames {
    message: u64,
    offset: u64,
    state: State,
    line: Vec<u8>,
    length: Option<u64>,
    chunked: bool,
    first: Vec<u8>,
}

impl Default for Frames {
    fn default() -> Self {
        Frames {
            message: 0,
            offset: 0,
            state: State::Head,
            line: Vec::new(),
            length: None,
            chunked: false,
            first: Vec::new(),
        }
    }
}

impl Frames {
    /// Where the next byte will lie.
    pub fn place(&self) -> Place {
        let part = match self.state {
            State::Head => Part::Head,
            State::Body(_) | State::Endless => Part::Body,
            State::Length(_) => Part::ChunkLength,
            State::Chunk(_) => Part::Chunk,
            State::Trailer => Part::Trailer,
        };
        Place { message: self.message, part, offset: self.offset }
    }

    /// Takes the next byte.
    pub fn take(&mut self, byte: u8) {
        self.offset += 1;
        match self.state {
            State::Endless => {}
            State::Body(left) if left > 1 => self.state = State::Body(left - 1),
            State::Body(_) => self.over(),
            State::Chunk(left) if left > 1 => self.state = State::Chunk(left - 1),
            State::Chunk(_) => self.go(State::Length(0)),
            State::Length(so_far) => self.length_byte(so_far, byte),
            State::Head | State::Trailer => self.line_byte(byte),
        }
    }

    fn go(&mut self, state: State) {
        (self.state, self.offset) = (state, 0);
        self.line.clear();
    }

    fn over(&mut self) {
        self.message += 1;
        (self.length, self.chunked) = (None, false);
        self.first.clear();
        self.go(State::Head);
    }

    fn length_byte(&mut self, so_far: u64, byte: u8) {
        if byte == b'\n' {
            match so_far {
                0 => self.go(State::Trailer),
                len => self.go(State::Chunk(len.saturating_add(2))),
            }
            return;
        }
        // Extensions behind the digits count for nothing.
        if let (Some(digit), false) = ((byte as char).to_digit(16), self.line.contains(&b';')) {
            self.state = State::Length(so_far.saturating_mul(16).saturating_add(digit.into()));
        } else if byte == b';' {
            self.line.push(byte);
        }
    }

    fn line_byte(&mut self, byte: u8) {
        if byte != b'\n' {
            if self.line.len() < LONGEST_HEAD {
                self.line.push(byte);
            } else {
                self.state = State::Endless;
            }
            return;
        }
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if matches!(self.state, State::Trailer) {
            if line.is_empty() {
                self.over();
            }
            return;
        }
        if line.is_empty() {
            if self.first.is_empty() {
                return; // an empty line before a head
            }
            return self.head_ends();
        }
        if self.first.is_empty() {
            self.first = line.to_vec();
            return;
        }
        let text = String::from_utf8_lossy(line).to_ascii_lowercase();
        let Some((name, value)) = text.split_once(':') else { return };
        match name.trim() {
            "content-length" => self.length = value.trim().parse().ok(),
            "transfer-encoding" => self.chunked = value.contains("chunked"),
            _ => {}
        }
    }

    fn head_ends(&mut self) {
        let answer = self.first.starts_with(b"HTTP/");
        let status = self.first.get(9..12).unwrap_or_default();
        let bare = status == b"204" || status == b"304" || status.first() == Some(&b'1');
        if self.chunked {
            return self.go(State::Length(0));
        }
        match self.length {
            Some(0) => self.over(),
            Some(len) => self.go(State::Body(len)),
            None if answer && !bare => self.go(State::Endless),
            None => self.over(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn places(text: &str) -> Vec<Place> {
        let mut frames = Frames::default();
        text.bytes()
            .map(|b| {
                let place = frames.place();
                frames.take(b);
                place
            })
            .collect()
    }

    #[test]
    fn messages_bodies_and_chunk_lengths_are_found() {
        let one = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
        let two = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = format!("{one}{two}1a;x=9\r\n{}\r\n0\r\n\r\nHTTP/1.1 204 No\r\n\r\nG", "z".repeat(26));
        let all = places(&text);
        let at = |needle: &str, more: usize| all[text.find(needle).unwrap() + more];
        assert_eq!(at("abc", 0), Place { message: 0, part: Part::Body, offset: 0 });
        assert_eq!(at("HTTP/1.1 200", 0), Place { message: 1, part: Part::Head, offset: 0 });
        assert_eq!(at("1a;", 1), Place { message: 1, part: Part::ChunkLength, offset: 1 });
        assert_eq!(at("zzz", 25), Place { message: 1, part: Part::Chunk, offset: 25 });
        assert_eq!(at("0\r\n\r\nHTTP", 0), Place { message: 1, part: Part::ChunkLength, offset: 0 });
        assert_eq!(at("HTTP/1.1 204", 0).message, 2);
        assert_eq!(all.last(), Some(&Place { message: 3, part: Part::Head, offset: 0 }));
    }

    proptest! {
        /// Whatever the lengths, each request begins where it begins, and nonsense does not panic.
        #[test]
        fn requests_begin_where_they_begin(lens in prop::collection::vec(0usize..40, 1..8), junk in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut text = Vec::new();
            let mut begins = Vec::new();
            for len in &lens {
                begins.push(text.len());
                text.extend_from_slice(format!("POST / HTTP/1.1\r\nContent-Length: {len}\r\n\r\n").as_bytes());
                text.extend(std::iter::repeat_n(b'x', *len));
            }
            let mut frames = Frames::default();
            for (n, byte) in text.iter().enumerate() {
                let place = frames.place();
                let first = place.part == Part::Head && place.offset == 0;
                prop_assert_eq!(first, begins.contains(&n));
                frames.take(*byte);
            }
            let mut frames = Frames::default();
            junk.iter().for_each(|b| frames.take(*b));
        }
    }
}
