/** Why a process ends. */
export enum EndReason {
    /** A signal asked it to stop. */
    Stopped = "stopped",
    /** It could not take up its role. */
    StartFailed = "start-failed",
    /** Too many uncaught errors. */
    UncaughtErrors = "uncaught-errors",
}
