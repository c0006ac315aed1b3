use clap::Parser;

use super::{
    ApplyCommand, AuditCommand, CheckCommand, CommandReport, DiffCommand, DrainCommand,
    NodeCommand, OutputFormat, ShowCommand, UpstreamsCommand, WhereCommand,
};

/// The exit codes, shown by `--help`.
const EXIT_CODES: &str = "Exit codes:
  0  done
  1  refused, or faults were found
  2  the command line is invalid
  3  the platform or a node did not answer
  4  another edit was accepted first";

/// Serves LoRA adapters on shared model upstreams.
#[derive(Debug, Parser)]
#[command(name = "comfreychute", version, after_help = EXIT_CODES)]
pub struct CommandLine {
    /// The output format.
    #[arg(long, global = true, value_enum, default_value = "text")]
    pub output: OutputFormat,
    /// The subcommand to run.
    #[command(subcommand)]
    pub subcommand: Subcommand,
}

/// The subcommands of the command line.
#[derive(Debug, clap::Subcommand)]
pub enum Subcommand {
    /// Runs a node until SIGTERM or SIGINT.
    ///
    /// Environment variables of the form `COMFREYCHUTE_<SECTION>_<KEY>` override the file; --set
    /// overrides both. Logs go to standard error as JSON lines.
    Node(NodeCommand),
    /// Checks tables, settings or both, and reports all faults.
    Check(CheckCommand),
    /// Replaces the tables with the content of both files.
    ///
    /// Both files are checked together first. The edit is accepted only if no other edit has been
    /// accepted since its base revision: --base, or the comment that `show --directory` wrote into
    /// the files, or else the current revision. After the edit, that comment states the new
    /// revision.
    Apply(ApplyCommand),
    /// Shows the accepted tables, or writes them to files for editing.
    Show(ShowCommand),
    /// Shows what an apply of both files would change.
    ///
    /// Lines start with + for an added row, - for a removed row, ~ for a changed key and > for a
    /// row that now follows a different row.
    Diff(DiffCommand),
    /// Shows who changed what and why.
    ///
    /// Records appear a few seconds after the change and are kept for 72 hours.
    Audit(AuditCommand),
    /// Shows which revision of the tables is in force on each instance.
    Where(WhereCommand),
    /// Shows the upstreams with owner, load and resident adapters.
    ///
    /// Each node reports all upstreams as described by the heartbeats of their owners. If several
    /// nodes are queried, the state of an upstream comes from its owner if that is one of them.
    Upstreams(UpstreamsCommand),
    /// Takes an upstream out of service without interrupting its requests.
    Drain(DrainCommand),
}

impl CommandLine {
    /// Runs the subcommand; an error becomes a report with its exit code.
    pub async fn run(self) -> CommandReport {
        let report = match self.subcommand {
            Subcommand::Node(command) => command.run().await,
            Subcommand::Check(command) => Ok(command.run()),
            Subcommand::Apply(command) => command.run().await,
            Subcommand::Show(command) => command.run().await,
            Subcommand::Diff(command) => command.run().await,
            Subcommand::Audit(command) => command.run(self.output).await,
            Subcommand::Where(command) => command.run().await,
            Subcommand::Upstreams(command) => command.run().await,
            Subcommand::Drain(command) => command.run().await,
        };
        report
            .unwrap_or_else(|error| CommandReport::from_error(&error))
            .with_format(self.output)
    }
}
