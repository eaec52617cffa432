//! `cypressfork completions` and `cypressfork manual`: generated from the list of subcommands.

use super::{ALL, Subcommand};
use crate::context::Context;
use crate::error::Error;

/// `completions`: prints the completion script of a shell.
pub const COMPLETIONS: Subcommand = Subcommand {
    name: "completions",
    args: "bash|zsh|fish",
    about: "print completions for a shell",
    run: completions,
};

/// `manual`: prints the manual page.
pub const MANUAL: Subcommand =
    Subcommand { name: "manual", args: "", about: "print the manual page", run: manual };

fn subcommand_names() -> String {
    ALL.iter().map(|c| c.name).collect::<Vec<_>>().join(" ")
}

fn completions(cx: &Context) -> Result<String, Error> {
    match cx.arg(0, "the shell: bash, zsh or fish")? {
        "bash" => Ok(format!(
            "_cypressfork() {{\n    local word=\"${{COMP_WORDS[COMP_CWORD]}}\"\n    if [ \"$COMP_CWORD\" -eq 1 ]; then\n        COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n    else\n        COMPREPLY=($(compgen -f -- \"$word\"))\n    fi\n}}\ncomplete -F _cypressfork cypressfork\n",
            subcommand_names()
        )),
        "zsh" => {
            let line =
                |c: &Subcommand| format!("        '{}:{}'\n", c.name, c.about.replace('\'', ""));
            let all: String = ALL.iter().map(line).collect();
            Ok(format!(
                "#compdef cypressfork\n_cypressfork() {{\n    local -a commands=(\n{all}    )\n    if (( CURRENT == 2 )); then _describe command commands; else _files; fi\n}}\n_cypressfork\n"
            ))
        }
        "fish" => {
            let line = |c: &Subcommand| {
                let about = c.about.replace('\'', "");
                format!(
                    "complete -c cypressfork -n __fish_use_subcommand -a {} -d '{about}'\n",
                    c.name
                )
            };
            Ok(ALL.iter().map(line).collect())
        }
        other => Err(Error::Usage(format!("'{other}' is not bash, zsh or fish"))),
    }
}

fn manual(_: &Context) -> Result<String, Error> {
    let entry = |c: &Subcommand| format!(".TP\n.B {} {}\n{}\n", c.name, c.args, c.about);
    let commands: String = ALL.iter().map(entry).collect();
    Ok(format!(
        ".TH CYPRESSFORK 1\n.SH NAME\ncypressfork \\- operate a cypressfork fleet\n.SH SYNOPSIS\n.B cypressfork\nSUBCOMMAND [WORDS] [OPTIONS]\n.SH SUBCOMMANDS\n{commands}.SH OPTIONS\n.TP\n.B \\-\\-settings FILE\nsettings file, cypressfork.yaml if not given\n.TP\n.B \\-\\-json\nanswer in JSON\n.TP\n.B \\-\\-op ID\nid of the operation, to send it again\n.TP\n.B \\-\\-base VERSION\nversion that the change was made from\n.SH EXIT STATUS\n0 done, 2 invalid, 3 conflict, 4 out of reach, 64 bad command line, 78 bad settings.\n"
    ))
}
