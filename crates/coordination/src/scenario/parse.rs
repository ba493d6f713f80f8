//! Parses a scenario; every error names its line.

use super::{EntryLine, Event, Expect, KindLine, RunnerLine, Scenario, Step, WorkerLine};
use std::collections::BTreeMap;
use std::time::Duration;
use yuccalink_state::Resources;
use yuccalink_state::document::{Spread, TaskClass};
use yuccalink_state::id::Name;

/// An invalid line.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
/// line {line}: {what}
pub struct BadLine {
    /// Line number, from 1.
    pub line: usize,
    /// The error and what was expected.
    pub what: Box<str>,
}

impl std::error::Error for BadLine {}

/// Maximum number of lines in a scenario.
const LINES_MAX: usize = 10_000;
/// Maximum duration of a scenario.
const TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

type Parsed<T> = Result<T, Box<str>>;

/// Parses a scenario.
///
/// # Errors
/// [`BadLine`] for the first invalid line.
///
/// ```
/// use yuccalink_coordination::scenario::parse;
/// let scenario = parse("worker w1 cores=2 memory=10\nkind k cores=1 memory=1\nat 0ms submit a kind=k\n")?;
/// assert_eq!(scenario.workers.len(), 1);
/// assert_eq!(parse("at soon submit a kind=k").unwrap_err().line, 1);
/// # Ok::<(), yuccalink_coordination::scenario::BadLine>(())
/// ```
pub fn parse(text: &str) -> Result<Scenario, BadLine> {
    let mut scenario = Scenario::default();
    for (at, raw) in text.lines().enumerate() {
        let line = at + 1;
        let bad = |what: Box<str>| BadLine { line, what };
        if line > LINES_MAX {
            return Err(bad(format!("a scenario has at most {LINES_MAX} lines; split it").into()));
        }
        let content = raw.split('#').next().unwrap_or_default();
        let words: Vec<&str> = content.split_whitespace().collect();
        if !words.is_empty() {
            parse_line(&words, line, &mut scenario).map_err(bad)?;
        }
    }
    Ok(scenario)
}

fn parse_line(words: &[&str], line: usize, scenario: &mut Scenario) -> Parsed<()> {
    match words {
        ["entry", name, rest @ ..] => {
            let mut fields = Fields::new(rest)?;
            let zone = fields.take_name_or("zone", "zone")?;
            scenario.entries.push(EntryLine { name: parse_name(name)?, zone });
            fields.finish()
        }
        ["runner", name, rest @ ..] => {
            let mut fields = Fields::new(rest)?;
            let runner = RunnerLine {
                name: parse_name(name)?,
                service: parse_name(fields.take_required("service")?)?,
                slots: parse_number(fields.take_or("slots", "8"))?,
                zone: fields.take_name_or("zone", "zone")?,
            };
            scenario.runners.push(runner);
            fields.finish()
        }
        ["worker", name, rest @ ..] => {
            let mut fields = Fields::new(rest)?;
            let worker = WorkerLine {
                name: parse_name(name)?,
                capacity: parse_resources(&mut fields)?,
                rack: fields.take_name_or("rack", "rack")?,
                zone: fields.take_name_or("zone", "zone")?,
            };
            scenario.workers.push(worker);
            fields.finish()
        }
        ["kind", name, rest @ ..] => {
            let mut fields = Fields::new(rest)?;
            scenario.kinds.push(parse_kind(name, &mut fields)?);
            fields.finish()
        }
        ["at", instant, rest @ ..] => {
            let at = parse_duration(instant)?;
            if at > TIME_MAX {
                return Err("a scenario lasts at most 24h".into());
            }
            if scenario.steps.last().is_some_and(|last| last.at > at) {
                return Err("the instants must not go back; sort the lines".into());
            }
            let event = parse_event(rest)?;
            scenario.steps.push(Step { line, at, event });
            Ok(())
        }
        [first, ..] => {
            Err(format!("`{first}` is not known here; use entry, runner, worker, kind or at")
                .into())
        }
        [] => Ok(()),
    }
}

fn parse_kind(name: &str, fields: &mut Fields<'_>) -> Parsed<KindLine> {
    let class = match fields.take_or("class", "batch") {
        "batch" => TaskClass::Batch,
        "latency-critical" => TaskClass::LatencyCritical,
        other => return Err(format!("class={other}: use batch or latency-critical").into()),
    };
    let spread = match fields.take_or("spread", "none") {
        "none" => Spread::None,
        "racks" => Spread::Racks,
        "zones" => Spread::Zones,
        other => return Err(format!("spread={other}: use none, racks or zones").into()),
    };
    let checkpoint = parse_yes_no(fields.take_or("checkpoint", "no"))?;
    Ok(KindLine {
        name: parse_name(name)?,
        need: parse_resources(fields)?,
        class,
        spread,
        checkpoint,
    })
}

fn parse_event(words: &[&str]) -> Parsed<Event> {
    match words {
        ["submit", name, rest @ ..] => {
            let mut fields = Fields::new(rest)?;
            let event = Event::Submit {
                name: (*name).into(),
                kind: parse_name(fields.take_required("kind")?)?,
                count: parse_number(fields.take_or("count", "1"))?,
                urgent: parse_yes_no(fields.take_or("urgent", "no"))?,
            };
            fields.finish()?;
            Ok(event)
        }
        ["request", name, rest @ ..] => {
            let mut fields = Fields::new(rest)?;
            let event = Event::Request {
                name: (*name).into(),
                service: parse_name(fields.take_required("service")?)?,
                entry: parse_name(fields.take_required("entry")?)?,
                deadline: parse_duration(fields.take_or("deadline", "1s"))?,
                worth: parse_number(fields.take_or("worth", "1"))?,
            };
            fields.finish()?;
            Ok(event)
        }
        ["cancel", name] => Ok(Event::Cancel((*name).into())),
        ["evict", name] => Ok(Event::Evict((*name).into())),
        ["finish", name] => Ok(Event::Finish((*name).into())),
        ["fail", name] => Ok(Event::Fail((*name).into())),
        ["answer", name] => Ok(Event::Answer((*name).into())),
        ["break", name] => Ok(Event::Break((*name).into())),
        ["silence", name] => Ok(Event::Silence(parse_name(name)?)),
        ["hear", name] => Ok(Event::Hear(parse_name(name)?)),
        ["leave", name] => Ok(Event::Leave(parse_name(name)?)),
        ["restart", name] => Ok(Event::Restart(parse_name(name)?)),
        ["expect", rest @ ..] => parse_expect(rest).map(Event::Expect),
        [verb, ..] => Err(format!(
            "`{verb}` is not known, or not with these arguments; see docs/SCENARIOS.md"
        )
        .into()),
        [] => Err("an event is missing after the instant".into()),
    }
}

fn parse_expect(words: &[&str]) -> Parsed<Expect> {
    match words {
        [name, "on", place] => Ok(Expect::On((*name).into(), parse_name(place)?)),
        [name, "holds", count] => Ok(Expect::Holds(parse_name(name)?, parse_number(count)?)),
        [name, "owner", entry] => Ok(Expect::Owner(parse_name(name)?, parse_name(entry)?)),
        [name, state] => Ok(Expect::State((*name).into(), (*state).into())),
        _ => Err("write expect NAME STATE, expect NAME on PLACE, expect PLACE holds N or expect \
                  RUNNER owner ENTRY"
            .into()),
    }
}

/// The `name=value` words of one line; each can be taken once.
struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn new(words: &[&'a str]) -> Parsed<Self> {
        let mut all = BTreeMap::new();
        for word in words {
            let (name, value) =
                word.split_once('=').ok_or_else(|| format!("`{word}`: write NAME=VALUE"))?;
            if all.insert(name, value).is_some() {
                return Err(format!("`{name}` is there twice").into());
            }
        }
        Ok(Self(all))
    }

    fn take_required(&mut self, name: &str) -> Parsed<&'a str> {
        self.0.remove(name).ok_or_else(|| format!("`{name}=...` is missing").into())
    }

    fn take_or(&mut self, name: &str, default: &'static str) -> &'a str {
        self.0.remove(name).unwrap_or(default)
    }

    fn take_name_or(&mut self, name: &str, default: &'static str) -> Parsed<Name> {
        parse_name(self.take_or(name, default))
    }

    fn finish(self) -> Parsed<()> {
        match self.0.keys().next() {
            Some(name) => Err(format!("`{name}` is not known on this line").into()),
            None => Ok(()),
        }
    }
}

fn parse_resources(fields: &mut Fields<'_>) -> Parsed<Resources> {
    let cores: u64 = parse_number(fields.take_required("cores")?)?;
    Ok(Resources {
        millicores: cores.checked_mul(1000).ok_or("cores is too large")?,
        memory_mib: parse_number(fields.take_required("memory")?)?,
        accelerators: parse_number(fields.take_or("accelerators", "0"))?,
    })
}

fn parse_name(text: &str) -> Parsed<Name> {
    Name::new(text).map_err(|bad| bad.to_string().into())
}

fn parse_number<T>(text: &str) -> Parsed<T>
where
    T: std::str::FromStr,
{
    text.parse().map_err(|_| format!("`{text}` is no whole number that fits").into())
}

fn parse_yes_no(text: &str) -> Parsed<bool> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        other => Err(format!("`{other}`: write yes or no").into()),
    }
}

fn parse_duration(text: &str) -> Parsed<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let scale = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(format!("`{text}` is no time; write 250ms, 3s, 2m or 1h").into()),
    };
    let number: u64 = number.parse().map_err(|_| format!("`{text}` is no time"))?;
    number
        .checked_mul(scale)
        .map(Duration::from_millis)
        .ok_or_else(|| "the duration is too long".into())
}
