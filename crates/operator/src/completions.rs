//! Shell completions, generated from the lists of commands and flags.

use std::fmt::Write;

/// Shells with completions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shell {
    /// GNU Bash.
    #[default]
    Bash,
    /// The Z shell.
    Zsh,
    /// Fish.
    Fish,
}

impl Shell {
    /// Parses the name of a shell.
    ///
    /// ```
    /// # use yuccalink_operator::completions::Shell;
    /// assert_eq!(Shell::parse("fish"), Some(Shell::Fish));
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "bash" => Some(Self::Bash),
            "zsh" => Some(Self::Zsh),
            "fish" => Some(Self::Fish),
            _ => None,
        }
    }
}

/// Commands with a short description, as in the help.
pub const COMMANDS: [(&str, &str); 19] = [
    ("check", "check documents without sending them"),
    ("apply", "put a document in force"),
    ("get", "print the document in force"),
    ("list", "list the documents in force"),
    ("diff", "compare a file with the document in force"),
    ("task", "submit, cancel, list and show tasks"),
    ("job", "submit, get and cancel jobs of a job cell, count those pending"),
    ("change", "apply or get the change set of a job cell"),
    ("wave", "start or get a maintenance wave of a job cell"),
    ("zone", "evacuate, restore and list availability zones"),
    ("queues", "list the queues of a job cell, their shares and who is short"),
    ("why", "print the log lines of a job in order of time"),
    ("losses", "sum up the lost worth of a cell's jobs by cause, from logs"),
    ("status", "show the state of the system"),
    ("targets", "list runners and workers"),
    ("decisions", "list the last decisions"),
    ("snapshot", "save, verify and restore the state of the system"),
    ("completions", "print shell completions"),
    ("help", "print the long help"),
];
/// Subcommands of `task`.
pub const TASK_COMMANDS: [&str; 4] = ["submit", "cancel", "list", "show"];
/// Flags of all commands.
pub const FLAGS: [&str; 21] = [
    "--server",
    "--json",
    "--author",
    "--timeout",
    "--no-wait",
    "--count",
    "--urgent",
    "--payload",
    "--key",
    "--plot",
    "--wait",
    "--empty",
    "--service",
    "--phase",
    "--after",
    "--limit",
    "--data",
    "--name",
    "--address",
    "--queue",
    "--id",
];

/// Returns the completion script for a shell.
///
/// ```
/// # use yuccalink_operator::completions::{script, Shell};
/// assert!(script(Shell::Bash).contains("apply"));
/// ```
pub fn script(shell: Shell) -> String {
    let commands: Vec<&str> = COMMANDS.iter().map(|(name, _)| *name).collect();
    let (commands, tasks, flags) = (commands.join(" "), TASK_COMMANDS.join(" "), FLAGS.join(" "));
    match shell {
        Shell::Bash => format!(
            "_yuccalink() {{\n  local cur=${{COMP_WORDS[COMP_CWORD]}}\n  \
             case ${{COMP_WORDS[COMP_CWORD-1]}} in\n    \
             task) COMPREPLY=($(compgen -W '{tasks}' -- \"$cur\")); return;;\n    \
             check|apply|diff) COMPREPLY=($(compgen -f -- \"$cur\")); return;;\n  esac\n  \
             COMPREPLY=($(compgen -W '{commands} {flags}' -- \"$cur\"))\n}}\n\
             complete -F _yuccalink yuccalink\n"
        ),
        Shell::Zsh => format!(
            "#compdef yuccalink\n_yuccalink() {{\n  case ${{words[CURRENT-1]}} in\n    \
             task) compadd {tasks};;\n    check|apply|diff) _files;;\n    \
             *) compadd -- {commands} {flags};;\n  esac\n}}\ncompdef _yuccalink yuccalink\n"
        ),
        Shell::Fish => {
            let mut out = String::new();
            for (name, about) in COMMANDS {
                let _ = writeln!(
                    out,
                    "complete -c yuccalink -n __fish_use_subcommand -a {name} -d '{about}'"
                );
            }
            let _ = writeln!(
                out,
                "complete -c yuccalink -n '__fish_seen_subcommand_from task' -a '{tasks}'"
            );
            for flag in FLAGS {
                let _ = writeln!(out, "complete -c yuccalink -l {}", flag.trim_start_matches("--"));
            }
            out
        }
    }
}
