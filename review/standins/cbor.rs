//! CBOR values: as much of the format as the protocols use, and their size as JSON, in which the limits are counted.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i128),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

pub fn text(s: impl Into<String>) -> Value {
    Value::Text(s.into())
}
pub fn int(n: impl Into<i128>) -> Value {
    Value::Int(n.into())
}
pub fn map(items: Vec<(&str, Value)>) -> Value {
    Value::Map(items.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl Value {
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Map(items) => items.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn str(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(Value::Text(s)) => Some(s),
            _ => None,
        }
    }
    pub fn u64(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Value::Int(n)) => u64::try_from(*n).ok(),
            _ => None,
        }
    }
    pub fn f64(&self, key: &str) -> Option<f64> {
        match self.get(key) {
            Some(Value::Int(n)) => Some(*n as f64),
            Some(Value::Float(x)) => Some(*x),
            _ => None,
        }
    }
    pub fn bool(&self, key: &str) -> Option<bool> {
        match self.get(key) {
            Some(Value::Bool(b)) => Some(*b),
            _ => None,
        }
    }
    pub fn list(&self, key: &str) -> &[Value] {
        match self.get(key) {
            Some(Value::List(items)) => items,
            _ => &[],
        }
    }
    /// Number of bytes as JSON without spaces.
    pub fn json_size(&self) -> usize {
        match self {
            Value::Null => 4,
            Value::Bool(b) => 5 - usize::from(*b),
            Value::Int(n) => n.to_string().len(),
            Value::Float(x) => format!("{x:?}").len(),
            Value::Text(s) => s.len() + 2,
            Value::List(items) => {
                1 + items
                    .iter()
                    .map(|i| i.json_size() + 1)
                    .sum::<usize>()
                    .max(1)
            }
            Value::Map(items) => {
                1 + items
                    .iter()
                    .map(|(k, v)| k.len() + 4 + v.json_size())
                    .sum::<usize>()
                    .max(1)
            }
        }
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        write(self, &mut out);
        out
    }
    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut at = 0;
        let value = read(bytes, &mut at, 0)?;
        (at == bytes.len()).then_some(value)
    }
}

fn head(major: u8, n: u64, out: &mut Vec<u8>) {
    let m = major << 5;
    if n < 24 {
        out.push(m | n as u8);
    } else if n <= 0xff {
        out.extend([m | 24, n as u8]);
    } else if n <= 0xffff {
        out.push(m | 25);
        out.extend((n as u16).to_be_bytes());
    } else if n <= 0xffff_ffff {
        out.push(m | 26);
        out.extend((n as u32).to_be_bytes());
    } else {
        out.push(m | 27);
        out.extend(n.to_be_bytes());
    }
}

fn write(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Null => out.push(0xf6),
        Value::Bool(b) => out.push(0xf4 + u8::from(*b)),
        Value::Int(n) if *n >= 0 => head(0, *n as u64, out),
        Value::Int(n) => head(1, (-1 - *n) as u64, out),
        Value::Float(x) => {
            out.push(0xfb);
            out.extend(x.to_be_bytes());
        }
        Value::Text(s) => {
            head(3, s.len() as u64, out);
            out.extend(s.as_bytes());
        }
        Value::List(items) => {
            head(4, items.len() as u64, out);
            items.iter().for_each(|item| write(item, out));
        }
        Value::Map(items) => {
            head(5, items.len() as u64, out);
            for (k, v) in items {
                write(&Value::Text(k.clone()), out);
                write(v, out);
            }
        }
    }
}

fn take<'a>(bytes: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = bytes.get(*at..at.checked_add(n)?)?;
    *at += n;
    Some(part)
}

fn half(bits: u16) -> f64 {
    let sign = if bits & 0x8000 == 0 { 1.0 } else { -1.0 };
    let exponent = i32::from((bits >> 10) & 0x1f);
    let fraction = f64::from(bits & 0x3ff);
    sign * match exponent {
        0 => fraction * 2f64.powi(-24),
        31 if fraction == 0.0 => f64::INFINITY,
        31 => f64::NAN,
        _ => (1.0 + fraction / 1024.0) * 2f64.powi(exponent - 15),
    }
}

fn read(bytes: &[u8], at: &mut usize, depth: usize) -> Option<Value> {
    if depth > 32 {
        return None;
    }
    let first = take(bytes, at, 1)?[0];
    let (major, low) = (first >> 5, first & 31);
    if major == 7 {
        return Some(match low {
            20 => Value::Bool(false),
            21 => Value::Bool(true),
            22 | 23 => Value::Null,
            25 => Value::Float(half(u16::from_be_bytes(
                take(bytes, at, 2)?.try_into().ok()?,
            ))),
            26 => Value::Float(f64::from(f32::from_be_bytes(
                take(bytes, at, 4)?.try_into().ok()?,
            ))),
            27 => Value::Float(f64::from_be_bytes(take(bytes, at, 8)?.try_into().ok()?)),
            _ => return None,
        });
    }
    let n = match low {
        0..=23 => Some(u64::from(low)),
        24 => Some(u64::from(take(bytes, at, 1)?[0])),
        25 => Some(u64::from(u16::from_be_bytes(
            take(bytes, at, 2)?.try_into().ok()?,
        ))),
        26 => Some(u64::from(u32::from_be_bytes(
            take(bytes, at, 4)?.try_into().ok()?,
        ))),
        27 => Some(u64::from_be_bytes(take(bytes, at, 8)?.try_into().ok()?)),
        31 if major == 4 || major == 5 => None,
        _ => return None,
    };
    let ended = |at: &mut usize, count: usize| match n {
        Some(n) => count as u64 >= n,
        None if bytes.get(*at) == Some(&0xff) => {
            *at += 1;
            true
        }
        None => false,
    };
    Some(match major {
        0 => Value::Int(i128::from(n?)),
        1 => Value::Int(-1 - i128::from(n?)),
        3 => Value::Text(String::from_utf8(take(bytes, at, n? as usize)?.to_vec()).ok()?),
        4 => {
            let mut items = Vec::new();
            while !ended(at, items.len()) {
                items.push(read(bytes, at, depth + 1)?);
            }
            Value::List(items)
        }
        5 => {
            let mut items = Vec::new();
            while !ended(at, items.len()) {
                let Value::Text(key) = read(bytes, at, depth + 1)? else {
                    return None;
                };
                items.push((key, read(bytes, at, depth + 1)?));
            }
            Value::Map(items)
        }
        _ => return None,
    })
}
