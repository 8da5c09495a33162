//! Lines and message texts of SMTP and LMTP, put together from reads cut anywhere. Both end in CR LF and nothing
//! else does: a bare CR or LF that one side takes for a line's end and another does not lets a message smuggle a
//! second one past its receiver.

/// The longest command line, parameters included, and the longest line of a text, both with CR LF.
pub const COMMAND_MOST: usize = 2048;
/// RFC 5321, section 4.5.3.1.6.
pub const TEXT_LINE_MOST: usize = 1000;

/// Why a line can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadLine {
    /// A CR or an LF by itself, or a NUL.
    Bare,
    /// Too long.
    Long,
}

/// A whole line at the front of the bytes, its CR LF not counted; `None`: it has not ended yet.
pub fn line(bytes: &[u8]) -> Result<Option<&[u8]>, BadLine> {
    let Some(at) = bytes.iter().position(|b| matches!(b, b'\r' | b'\n' | 0)) else {
        return if bytes.len() >= COMMAND_MOST { Err(BadLine::Long) } else { Ok(None) };
    };
    match (bytes[at], bytes.get(at + 1)) {
        _ if at + 2 > COMMAND_MOST => Err(BadLine::Long),
        (b'\r', Some(b'\n')) => Ok(Some(&bytes[..at])),
        (b'\r', None) => Ok(None),
        _ => Err(BadLine::Bare),
    }
}

/// What is wrong with a text. It is read to its end all the same, so that what follows is not taken for commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadText {
    /// A CR or an LF by itself.
    Bare,
    /// A line is too long.
    Line,
    /// The text is too long.
    Size,
}

/// A message text as it comes in after DATA: dots unstuffed, ended by CR LF, dot, CR LF and by nothing else.
pub struct Text {
    most: usize,
    state: At,
    line: usize,
    /// The text so far, up to the most that is taken.
    pub bytes: Vec<u8>,
    /// The first thing that is wrong with it.
    pub bad: Option<BadText>,
}

#[derive(Clone, Copy, PartialEq)]
enum At {
    LineStart,
    Middle,
    /// After a dot at the start of a line.
    Dot,
    DotCr,
    Cr,
}

impl Text {
    /// A text of at most so many bytes.
    pub fn new(most: usize) -> Text {
        Text { most, state: At::LineStart, line: 0, bytes: Vec::new(), bad: None }
    }

    /// Takes in bytes; says how many belonged to the text, and whether it has ended with them.
    pub fn push(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (n, b) in bytes.iter().enumerate() {
            self.state = match (self.state, b) {
                (At::DotCr, b'\n') => return (n + 1, true),
                (At::Cr, b'\n') => {
                    self.keep(b"\r\n");
                    self.line = 0;
                    At::LineStart
                }
                (At::Cr | At::DotCr, _) => {
                    self.fault(BadText::Bare);
                    if *b == b'\r' {
                        At::Cr
                    } else {
                        At::Middle
                    }
                }
                (At::LineStart, b'.') => At::Dot,
                (At::Dot, b'\r') => At::DotCr,
                (_, b'\r') => At::Cr,
                (_, b'\n') => {
                    self.fault(BadText::Bare);
                    At::Middle
                }
                (_, b) => {
                    self.keep(&[*b]);
                    At::Middle
                }
            };
        }
        (bytes.len(), false)
    }

    fn keep(&mut self, bytes: &[u8]) {
        self.line += bytes.len();
        if self.line > TEXT_LINE_MOST {
            self.fault(BadText::Line);
        }
        if self.bytes.len() + bytes.len() > self.most {
            self.fault(BadText::Size);
        }
        if self.bad.is_none() {
            self.bytes.extend(bytes);
        }
    }

    fn fault(&mut self, bad: BadText) {
        self.bad.get_or_insert(bad);
        self.bytes = Vec::new();
    }
}

/// A text as it goes out after DATA: dots stuffed, with its end.
pub fn stuffed(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + text.len() / 50 + 8);
    for line in text.split_inclusive(|b| *b == b'\n') {
        if line.first() == Some(&b'.') {
            out.push(b'.');
        }
        out.extend(line);
    }
    if !out.is_empty() && !out.ends_with(b"\r\n") {
        out.extend(b"\r\n");
    }
    out.extend(b".\r\n");
    out
}

/// A reply, whole: its code, its enhanced code if it has one, and its words in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// Three digits.
    pub code: u16,
    /// All that it says, lines joined by a space.
    pub text: String,
    /// Bytes it took.
    pub len: usize,
    /// Its lines, for the extensions in an answer to EHLO.
    pub lines: Vec<String>,
}

/// The longest reply that is believed.
const REPLY_MOST: usize = 16 * 1024;

/// A whole reply at the front of the bytes; `None`: it has not ended yet. Servers that end lines with LF alone
/// are understood: their replies carry nothing that could be smuggled.
pub fn reply(bytes: &[u8]) -> Result<Option<Reply>, &'static str> {
    let (mut at, mut lines) = (0, Vec::new());
    while let Some(end) = bytes[at..].iter().position(|b| *b == b'\n') {
        let line = bytes[at..at + end].strip_suffix(b"\r").unwrap_or(&bytes[at..at + end]);
        at += end + 1;
        let digits =
            line.get(..3).filter(|d| d.iter().all(u8::is_ascii_digit) && (b'2'..=b'5').contains(&d[0]));
        let digits = digits.ok_or("a reply without a code")?;
        let code = digits.iter().fold(0, |c, d| c * 10 + u16::from(d - b'0'));
        let clean = |b: &u8| if b.is_ascii_graphic() || *b == b' ' { char::from(*b) } else { '?' };
        lines.push(line.get(4..).unwrap_or_default().iter().map(clean).collect::<String>());
        match line.get(3) {
            Some(b'-') => {}
            None | Some(b' ') => return Ok(Some(Reply { code, text: lines.join(" "), len: at, lines })),
            Some(_) => return Err("a reply with a malformed code"),
        }
    }
    if bytes.len() > REPLY_MOST {
        Err("a reply without an end")
    } else {
        Ok(None)
    }
}

impl Reply {
    /// Subject and detail of its enhanced code (RFC 3463), where its class is that of the reply.
    pub fn enhanced(&self) -> Option<(u16, u16)> {
        let mut parts = self.text.split(' ').next()?.split('.').map(|p| p.parse::<u16>().ok());
        let (class, subject, detail) = (parts.next()??, parts.next()??, parts.next()??);
        (class == self.code / 100 && parts.next().is_none()).then_some((subject, detail))
    }

    /// A wait that it tells in words, in milliseconds: "try again in 300 seconds", "retry after 5 minutes". No
    /// standard has a form for it; greylisting servers use these.
    pub fn wait_ms(&self) -> Option<u64> {
        let words: Vec<String> = self.text.split_whitespace().map(str::to_ascii_lowercase).collect();
        words.windows(2).enumerate().find_map(|(n, pair)| {
            if pair[0] != "in" && pair[0] != "after" {
                return None;
            }
            let split = pair[1].find(|c: char| !c.is_ascii_digit()).unwrap_or(pair[1].len());
            let (number, unit) = pair[1].split_at(split);
            let number: u64 = number.parse().ok()?;
            let next = words.get(n + 2).map_or("", String::as_str);
            let unit = if unit.is_empty() { next } else { unit };
            let ms = match unit.trim_end_matches(['.', ',', ';', ')']) {
                "ms" | "milliseconds" => 1,
                "s" | "sec" | "secs" | "second" | "seconds" => 1000,
                "m" | "min" | "mins" | "minute" | "minutes" => 60_000,
                _ => return None,
            };
            number.checked_mul(ms)
        })
    }
}
