//! The tasks of one step. Memory and snapshots hold only the tasks that have begun, because a
//! job may declare far more tasks than ever start.

use super::memory;
use super::task::{Task, TaskRetries};
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::{SerializeSeq, SerializeTuple};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::LazyLock;

/// Largest step whose tasks a snapshot lists one by one, as earlier releases read them.
const LISTED_MAX: u32 = 64;
/// Tasks in one word of [`Tasks::done_at_once`].
const WORD_TASKS: usize = u64::BITS as usize;

static NOT_BEGUN: LazyLock<Task> = LazyLock::new(Task::default);
static DONE_AT_ONCE: LazyLock<Task> =
    LazyLock::new(|| Task { done: true, last_run: 1, ..Task::default() });

/// The tasks of one step, by their numbers.
///
/// ```
/// use yuccalink_state::jobs::Tasks;
/// let tasks = Tasks::new(4_096);
/// assert_eq!((tasks.len(), tasks.waiting_len()), (4_096, 4_096));
/// assert_eq!(tasks.get(4_095).map(|task| task.last_run), Some(0));
/// assert!(tasks.get(4_096).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tasks {
    len: u32,
    /// One bit for each task that its first run has done and that has nothing else to record.
    done_at_once: Vec<u64>,
    /// All other tasks that have begun, in the order of their numbers.
    begun: Vec<(u16, Box<Task>)>,
    done: u32,
    /// Tasks that are not done and have a run that may be running.
    busy: u32,
    assigned: u32,
    memory: u64,
}

impl Tasks {
    /// `len` tasks that have not begun.
    pub fn new(len: u32) -> Self {
        Self { len, ..Self::default() }
    }

    /// Number of tasks.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether there are no tasks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of tasks that are neither done nor assigned to a runner.
    pub fn waiting_len(&self) -> u32 {
        self.len - self.done - self.busy
    }

    /// Number of runs that may be running.
    pub fn assigned_len(&self) -> u32 {
        self.assigned
    }

    /// The task with this number.
    pub fn get(&self, index: u16) -> Option<&Task> {
        if u32::from(index) >= self.len {
            return None;
        }
        Some(match self.find(index) {
            Ok(at) => &self.begun[at].1,
            Err(_) if self.is_done_at_once(index) => &DONE_AT_ONCE,
            Err(_) => &NOT_BEGUN,
        })
    }

    /// All tasks, in the order of their numbers. Takes time in proportion to their number.
    pub fn iter(&self) -> impl Iterator<Item = &Task> {
        (0..self.len).filter_map(|index| self.get(u16::try_from(index).ok()?))
    }

    /// The tasks that have begun, with their numbers; those that their first run has done are left
    /// out.
    pub fn begun(&self) -> impl Iterator<Item = (u16, &Task)> {
        self.begun.iter().map(|(index, task)| (*index, &**task))
    }

    /// The tasks with runs that may be running, with their numbers.
    pub fn assigned(&self) -> impl Iterator<Item = (u16, &Task)> {
        let begun = (self.assigned > 0).then(|| self.begun()).into_iter().flatten();
        begun.filter(|(_, task)| !task.assignments.is_empty())
    }

    /// Whether any task is done.
    pub fn any_done(&self) -> bool {
        self.done > 0
    }

    /// Numbers of the tasks that are neither done nor assigned to a runner.
    pub fn waiting(&self) -> impl Iterator<Item = u16> {
        let mut begun = self.begun.iter().peekable();
        let waits = move |index: &u16| {
            while begun.next_if(|(begun, _)| begun < index).is_some() {}
            match begun.peek() {
                Some((begun, task)) if begun == index => task.is_waiting(),
                _ => !self.is_done_at_once(*index),
            }
        };
        let len = if self.waiting_len() == 0 { 0 } else { self.len };
        (0..len).filter_map(|index| u16::try_from(index).ok()).filter(waits)
    }

    /// Estimate of the memory that the tasks take, in bytes.
    pub fn memory(&self) -> u64 {
        self.memory
    }

    /// Whether a snapshot lists all tasks one by one, so that earlier releases can read it.
    pub(crate) fn is_listed(&self) -> bool {
        (1..=LISTED_MAX).contains(&self.len) && self.retries().next().is_none()
    }

    fn retries(&self) -> impl Iterator<Item = (u16, &TaskRetries)> {
        let retries = self.begun().map(|(index, task)| (index, &task.retries));
        retries.filter(|(_, retries)| !retries.is_empty())
    }

    /// Changes a task; `None` if there is none with this number.
    pub(super) fn update<F, T>(&mut self, index: u16, f: F) -> Option<T>
    where
        F: FnOnce(&mut Task) -> T,
    {
        if u32::from(index) >= self.len {
            return None;
        }
        let mut task = self.take(index);
        let result = f(&mut task);
        self.put(index, task);
        Some(result)
    }

    /// Position of a task in `begun`, or the position at which it belongs.
    fn find(&self, index: u16) -> Result<usize, usize> {
        self.begun.binary_search_by_key(&index, |(index, _)| *index)
    }

    fn is_done_at_once(&self, index: u16) -> bool {
        let (word, bit) = position(index);
        self.done_at_once.get(word).is_some_and(|bits| bits & bit != 0)
    }

    /// Takes a task out, as if it had not begun.
    fn take(&mut self, index: u16) -> Task {
        let Ok(at) = self.find(index) else {
            if !self.is_done_at_once(index) {
                return Task::default();
            }
            let (word, bit) = position(index);
            self.done_at_once[word] &= !bit;
            while self.done_at_once.pop_if(|bits| *bits == 0).is_some() {}
            self.done -= 1;
            return DONE_AT_ONCE.clone();
        };
        let (_, task) = self.begun.remove(at);
        if self.begun.is_empty() {
            self.begun = Vec::new();
        }
        self.done -= u32::from(task.done);
        self.busy -= u32::from(task.is_busy());
        self.assigned -= task.assigned_len();
        self.memory -= memory::of_task(&task);
        *task
    }

    /// Stores the state of a task that counts as not begun.
    fn put(&mut self, index: u16, mut task: Task) {
        self.done += u32::from(task.done);
        if task == *DONE_AT_ONCE {
            let (word, bit) = position(index);
            if self.done_at_once.len() <= word {
                self.done_at_once.resize(word + 1, 0);
            }
            self.done_at_once[word] |= bit;
        } else if task != *NOT_BEGUN {
            if task.assignments.is_empty() {
                task.assignments = Vec::new();
            }
            self.busy += u32::from(task.is_busy());
            self.assigned += task.assigned_len();
            self.memory += memory::of_task(&task);
            let at = self.find(index).unwrap_or_else(|at| at);
            self.begun.insert(at, (index, Box::new(task)));
        }
    }
}

fn position(index: u16) -> (usize, u64) {
    let index = usize::from(index);
    (index / WORD_TASKS, 1 << (index % WORD_TASKS))
}

/// The form of [`Tasks`] that names only the tasks that have begun.
#[derive(Serialize, Deserialize)]
struct SparseTasks<W, T> {
    len: u32,
    done_at_once: W,
    begun: Vec<(u16, T)>,
    retries: Vec<(u16, TaskRetries)>,
}

/// The form of [`Tasks`] that lists all of them.
struct ListedTasks<T>(T);

impl Serialize for ListedTasks<&Tasks> {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut seq = serializer.serialize_seq(Some(self.0.len as usize))?;
        self.0.iter().try_for_each(|task| seq.serialize_element(task))?;
        seq.end()
    }
}

impl<'de> Deserialize<'de> for ListedTasks<Tasks> {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        struct ListVisitor;

        impl<'de> Visitor<'de> for ListVisitor {
            type Value = ListedTasks<Tasks>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list of tasks")
            }

            fn visit_seq<A>(self, mut seq: A) -> Result<Self::Value, A::Error>
            where
                A: SeqAccess<'de>,
            {
                let mut tasks = Tasks::default();
                while let Some(task) = seq.next_element::<Task>()? {
                    let index = u16::try_from(tasks.len)
                        .map_err(|_| A::Error::custom("a step has too many tasks"))?;
                    tasks.len += 1;
                    tasks.put(index, task);
                }
                Ok(ListedTasks(tasks))
            }
        }

        deserializer.deserialize_seq(ListVisitor)
    }
}

/// Writes the list of all tasks, or an empty list and then [`SparseTasks`]. Earlier releases wrote
/// the list, which was never empty.
impl Serialize for Tasks {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if self.is_listed() {
            let mut tuple = serializer.serialize_tuple(1)?;
            tuple.serialize_element(&ListedTasks(self))?;
            return tuple.end();
        }
        let sparse = SparseTasks {
            len: self.len,
            done_at_once: &self.done_at_once,
            begun: self.begun().collect(),
            retries: self.retries().map(|(index, retries)| (index, retries.clone())).collect(),
        };
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&ListedTasks(&Tasks::default()))?;
        tuple.serialize_element(&sparse)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Tasks {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        struct TasksVisitor;

        impl<'de> Visitor<'de> for TasksVisitor {
            type Value = Tasks;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("the tasks of a step")
            }

            fn visit_seq<A>(self, mut seq: A) -> Result<Self::Value, A::Error>
            where
                A: SeqAccess<'de>,
            {
                let missing = || A::Error::custom("the tasks of a step are missing");
                let ListedTasks(listed) = seq.next_element()?.ok_or_else(missing)?;
                if !listed.is_empty() {
                    return Ok(listed);
                }
                let sparse: SparseTasks<Vec<u64>, Task> =
                    seq.next_element()?.ok_or_else(missing)?;
                Tasks::try_from(sparse).map_err(A::Error::custom)
            }
        }

        deserializer.deserialize_tuple(2, TasksVisitor)
    }
}

impl TryFrom<SparseTasks<Vec<u64>, Task>> for Tasks {
    type Error = &'static str;

    fn try_from(sparse: SparseTasks<Vec<u64>, Task>) -> Result<Self, Self::Error> {
        let SparseTasks { len, done_at_once, begun, retries } = sparse;
        let done = done_at_once.iter().map(|bits| bits.count_ones()).sum();
        let mut tasks = Self { len, done_at_once, done, ..Self::default() };
        for (index, task) in begun {
            if u32::from(index) >= len {
                return Err("a task is not one of its step");
            }
            tasks.put(index, task);
        }
        for (index, retries) in retries {
            tasks.update(index, |task| task.retries = retries);
        }
        match tasks.done + tasks.busy > len {
            true => Err("more tasks than a step has are done or running"),
            false => Ok(tasks),
        }
    }
}
