/** Faults that the soak injects from outside of a process, and what it sees of processes. */
export enum FaultKind {
    Terminate = "SIGTERM",
    Reload = "SIGHUP",
    Kill = "SIGKILL",
    /** SIGKILL to a process that has not stopped within the grace period. */
    KillAfterGrace = "SIGKILL after the grace period",
    Freeze = "SIGSTOP",
    Thaw = "SIGCONT",
    Start = "start",
    Exit = "exit",
    /** The process ended although nothing had told it to. */
    OwnEnd = "own-end",
}
