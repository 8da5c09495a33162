//! Decoder for discovery's responses: splits the body into lines, whatever the sizes of the reads. No I/O, no clock.

use super::http::{self, BodyFraming};

/// Maximum length of a line, and of a chunk: some 30,000 entries of a list.
const MAX_LINE_BYTES: usize = 4 << 20;

/// Splits a response that may stay open, such as a watch, into lines.
#[derive(Default)]
pub struct LineDecoder {
    /// Bytes that are not decoded yet: a part of the head, or of a chunk's size line.
    raw: Vec<u8>,
    framing: Option<BodyFraming>,
    /// Remaining bytes of the current chunk, its line end included.
    chunk_remaining: usize,
    text: Vec<u8>,
    scanner: LineScanner,
    /// The status of the response, once its head has arrived.
    pub status: u16,
    /// Remaining bytes of a body with a `Content-Length`.
    pub body_remaining: Option<usize>,
    /// The response is complete.
    pub ended: bool,
}

impl LineDecoder {
    /// Decodes bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.raw.extend(bytes);
        if self.framing.is_none() {
            let Some(head) = http::parse_response(&self.raw, &[]).map_err(|e| e.status().to_owned())? else {
                return Ok(());
            };
            self.status = head.status;
            if head.status != 200 {
                return Err(format!("discovery answered {}", head.status));
            }
            self.raw.drain(..head.head_len);
            self.framing = Some(head.body);
            if let BodyFraming::Length(length) = head.body {
                self.body_remaining = Some(length);
            }
        }
        match self.framing {
            Some(BodyFraming::Chunked) => self.decode_chunks()?,
            Some(BodyFraming::Length(_)) => {
                let remaining = self.body_remaining.unwrap_or(0);
                let n = remaining.min(self.raw.len());
                self.text.extend(self.raw.drain(..n));
                self.raw.clear();
                self.body_remaining = Some(remaining - n);
                self.ended = remaining == n;
            }
            Some(BodyFraming::UntilClose) | None => self.text.append(&mut self.raw),
        }
        if self.text.len() > MAX_LINE_BYTES {
            return Err("a line of the list is too long".into());
        }
        Ok(())
    }

    fn decode_chunks(&mut self) -> Result<(), String> {
        while !self.raw.is_empty() && !self.ended {
            if self.chunk_remaining > 0 {
                // The last two bytes of a chunk are its line end.
                let n = self.chunk_remaining.min(self.raw.len());
                let text_len = self.chunk_remaining.saturating_sub(2).min(n);
                self.text.extend(&self.raw[..text_len]);
                self.raw.drain(..n);
                self.chunk_remaining -= n;
                continue;
            }
            match httparse::parse_chunk_size(&self.raw) {
                Ok(httparse::Status::Complete((_, 0))) => self.ended = true,
                Ok(httparse::Status::Complete((line_len, size))) if size <= MAX_LINE_BYTES as u64 => {
                    self.raw.drain(..line_len);
                    self.chunk_remaining = size as usize + 2;
                }
                Ok(httparse::Status::Partial) if self.raw.len() < 64 => return Ok(()),
                _ => return Err("a chunk of the list is malformed".into()),
            }
        }
        Ok(())
    }

    /// The connection has ended. That is an error unless the end of the connection marks the end of the body.
    pub fn end_of_stream(&mut self) -> Result<(), String> {
        if self.framing != Some(BodyFraming::UntilClose) {
            return Err("the list was cut off".into());
        }
        self.ended = true;
        Ok(())
    }

    /// Takes all decoded text that no line was made of.
    pub fn take_text(&mut self) -> Vec<u8> {
        self.scanner = LineScanner::default();
        std::mem::take(&mut self.text)
    }

    /// The next complete line, without its line end. An indented JSON object counts as one line, up to the end of the line on
    /// which it closes. An empty line is a heartbeat only between objects. Inside an object or a string it shows that the
    /// object will never be complete, so the text up to there is returned as it is.
    pub fn next_line(&mut self) -> Option<Vec<u8>> {
        if !self.scanner.find_line_end(&self.text) {
            return None;
        }
        let mut line: Vec<u8> = self.text.drain(..self.scanner.position).collect();
        self.scanner = LineScanner::default();
        line.pop();
        Some(line)
    }
}

/// Position and JSON nesting up to which the text has been scanned, so that no byte is scanned twice however small the
/// reads are.
#[derive(Default)]
struct LineScanner {
    position: usize,
    /// Where the current physical line begins.
    line_start: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl LineScanner {
    /// Advances behind the line end that completes a line; `false`: the text holds no complete line.
    fn find_line_end(&mut self, text: &[u8]) -> bool {
        while let Some(byte) = text.get(self.position) {
            self.position += 1;
            if *byte == b'\n' {
                let empty = text[self.line_start..self.position].iter().all(u8::is_ascii_whitespace);
                if self.depth == 0 || self.quoted || empty {
                    return true;
                }
                self.line_start = self.position;
            }
            if self.quoted {
                self.quoted = self.escaped || *byte != b'"';
                self.escaped = !self.escaped && *byte == b'\\';
                continue;
            }
            match byte {
                b'"' => self.quoted = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        false
    }
}
