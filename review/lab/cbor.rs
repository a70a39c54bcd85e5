//! CBOR values as PROTOCOL uses them: maps with text keys, lists, text, numbers, booleans and null.

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

impl Value {
    pub fn text(text: &str) -> Value {
        Value::Text(text.to_owned())
    }
    /// A map with these fields.
    pub fn map(fields: Vec<(&str, Value)>) -> Value {
        let fields = fields.into_iter();
        Value::Map(fields.map(|(key, value)| (key.to_owned(), value)).collect())
    }
    /// The field of a map; null if there is none.
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Value::Map(fields) => fields
                .iter()
                .find(|(name, _)| name == key)
                .map_or(&Value::Null, |(_, value)| value),
            _ => &Value::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }
    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }
    pub fn u64(&self) -> u64 {
        match self {
            Value::Int(number) => u64::try_from(*number).unwrap_or(0),
            Value::Float(number) => *number as u64,
            _ => 0,
        }
    }
    pub fn f64(&self) -> f64 {
        match self {
            Value::Int(number) => *number as f64,
            Value::Float(number) => *number,
            _ => 0.0,
        }
    }
    pub fn bool(&self) -> bool {
        *self == Value::Bool(true)
    }
    pub fn is_null(&self) -> bool {
        *self == Value::Null
    }
    /// The length of the value as JSON, in which PROTOCOL counts size limits.
    pub fn json_len(&self) -> usize {
        match self {
            Value::Null => 4,
            Value::Bool(flag) => 5 - usize::from(*flag),
            Value::Int(number) => number.to_string().len(),
            Value::Float(number) => format!("{number:?}").len(),
            Value::Text(text) => json_text_len(text),
            Value::List(items) => {
                2 + items.len().saturating_sub(1) + items.iter().map(Value::json_len).sum::<usize>()
            }
            Value::Map(fields) => {
                let fields_len = fields
                    .iter()
                    .map(|(k, v)| json_text_len(k) + 1 + v.json_len());
                2 + fields.len().saturating_sub(1) + fields_len.sum::<usize>()
            }
        }
    }
}

fn json_text_len(text: &str) -> usize {
    let escaped = |c: char| match c {
        '"' | '\\' | '\n' | '\r' | '\t' => 2,
        c if (c as u32) < 0x20 => 6,
        c => c.len_utf8(),
    };
    2 + text.chars().map(escaped).sum::<usize>()
}

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    write(value, &mut out);
    out
}

fn head(major: u8, number: u64, out: &mut Vec<u8>) {
    let major = major << 5;
    match number {
        0..=23 => out.push(major | number as u8),
        24..=0xff => out.extend([major | 24, number as u8]),
        0x100..=0xffff => {
            out.push(major | 25);
            out.extend((number as u16).to_be_bytes());
        }
        0x1_0000..=0xffff_ffff => {
            out.push(major | 26);
            out.extend((number as u32).to_be_bytes());
        }
        _ => {
            out.push(major | 27);
            out.extend(number.to_be_bytes());
        }
    }
}

fn write(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Null => out.push(0xf6),
        Value::Bool(flag) => out.push(0xf4 + u8::from(*flag)),
        Value::Int(number) if *number >= 0 => head(0, *number as u64, out),
        Value::Int(number) => head(1, (-1 - *number) as u64, out),
        Value::Float(number) => {
            out.push(0xfb);
            out.extend(number.to_be_bytes());
        }
        Value::Text(text) => {
            head(3, text.len() as u64, out);
            out.extend(text.as_bytes());
        }
        Value::List(items) => {
            head(4, items.len() as u64, out);
            items.iter().for_each(|item| write(item, out));
        }
        Value::Map(fields) => {
            head(5, fields.len() as u64, out);
            for (key, item) in fields {
                head(3, key.len() as u64, out);
                out.extend(key.as_bytes());
                write(item, out);
            }
        }
    }
}

/// Decodes one value; `None` if the bytes are not exactly one value of the kinds above.
pub fn decode(bytes: &[u8]) -> Option<Value> {
    let mut rest = bytes;
    let value = read(&mut rest, 0)?;
    rest.is_empty().then_some(value)
}

fn take<'a>(rest: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (taken, left) = rest.split_at_checked(count)?;
    *rest = left;
    Some(taken)
}

/// The argument of a head; `None` inside for an indefinite length.
fn argument(info: u8, rest: &mut &[u8]) -> Option<Option<u64>> {
    let number = |bytes: &[u8]| {
        bytes
            .iter()
            .fold(0_u64, |n, byte| n << 8 | u64::from(*byte))
    };
    Some(match info {
        0..=23 => Some(u64::from(info)),
        24..=27 => Some(number(take(rest, 1 << (info - 24))?)),
        31 => None,
        _ => return None,
    })
}

fn is_break(rest: &mut &[u8]) -> bool {
    let ends = rest.first() == Some(&0xff);
    if ends {
        *rest = &rest[1..];
    }
    ends
}

fn read_text(rest: &mut &[u8], length: Option<u64>) -> Option<String> {
    if let Some(length) = length {
        let bytes = take(rest, usize::try_from(length).ok()?)?;
        return String::from_utf8(bytes.to_vec()).ok();
    }
    let mut text = String::new();
    while !is_break(rest) {
        match read(rest, 0)? {
            Value::Text(part) => text.push_str(&part),
            _ => return None,
        }
    }
    Some(text)
}

fn read(rest: &mut &[u8], depth: u32) -> Option<Value> {
    if depth > 32 {
        return None;
    }
    let first = take(rest, 1)?[0];
    let (major, info) = (first >> 5, first & 31);
    if major == 7 {
        return Some(match info {
            20 => Value::Bool(false),
            21 => Value::Bool(true),
            22 | 23 => Value::Null,
            25 => Value::Float(half(u16::from_be_bytes(take(rest, 2)?.try_into().ok()?))),
            26 => Value::Float(f32::from_be_bytes(take(rest, 4)?.try_into().ok()?).into()),
            27 => Value::Float(f64::from_be_bytes(take(rest, 8)?.try_into().ok()?)),
            _ => return None,
        });
    }
    let length = argument(info, rest)?;
    match major {
        0 => Some(Value::Int(length?.into())),
        1 => Some(Value::Int(-1 - i128::from(length?))),
        3 => Some(Value::Text(read_text(rest, length)?)),
        4 => {
            let mut items = Vec::new();
            while length.is_none_or(|length| (items.len() as u64) < length) {
                if length.is_none() && is_break(rest) {
                    break;
                }
                items.push(read(rest, depth + 1)?);
            }
            Some(Value::List(items))
        }
        5 => {
            let mut fields = Vec::new();
            while length.is_none_or(|length| (fields.len() as u64) < length) {
                if length.is_none() && is_break(rest) {
                    break;
                }
                let Value::Text(key) = read(rest, depth + 1)? else {
                    return None;
                };
                fields.push((key, read(rest, depth + 1)?));
            }
            Some(Value::Map(fields))
        }
        _ => None,
    }
}

fn half(bits: u16) -> f64 {
    let sign = if bits >> 15 == 1 { -1.0 } else { 1.0 };
    let exponent = i32::from(bits >> 10 & 31);
    let fraction = f64::from(bits & 0x3ff);
    sign * match exponent {
        0 => fraction * 2f64.powi(-24),
        31 if fraction == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1024.0 + fraction) * 2f64.powi(exponent - 25),
    }
}
