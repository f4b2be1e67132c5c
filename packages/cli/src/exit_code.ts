/** Exit codes of the command-line tool; documented in docs/commands.md. */
export enum ExitCode {
  Success = 0,
  /** The system refused; nothing was changed. */
  Refused = 1,
  /** Bad options or files; nothing was sent. */
  Usage = 2,
  /** Another operator's change came first; nothing was changed. */
  Conflict = 3,
  /** Accepted, but some hosts did not confirm in time. */
  NotReached = 4,
  /** No answer: it may have been changed. */
  Unknown = 5,
}
