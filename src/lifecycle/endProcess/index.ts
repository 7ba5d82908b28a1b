import { setTimeout as delay } from "node:timers/promises";
import { nowMs } from "../../clock/nowMs/index.js";
import { EndingProcess } from "../EndingProcess.js";

/** Time left for the last log lines to be written, in ms; longer than lines are collected before they are written. */
const MIN_DELAY_MS = 150;
/** Time after which files that are still being read or written count as blocked, in ms. */
const MAX_DELAY_MS = 600;
const POLL_INTERVAL_MS = 20;
/** Kinds of requests that occupy a thread until the operating system has answered: of files, and of name look-ups. */
const THREAD_REQUESTS = /^(FSReq|FileHandleClose|GetAddrInfo)/;

/**
 * Ends the process once its last log lines are written. `exit` waits for the threads that read and write files, and so for ever
 * if a disk hangs or nobody reads the log; the process kills itself then.
 *
 * @param code - Exit code.
 * @param ending - The process.
 * @returns A promise that resolves when the process has been told to end.
 * @example
 * void endProcess(0);
 */
export async function endProcess(code: number, ending: EndingProcess = process): Promise<void> {
    const startedAtMs = nowMs();
    const isBlocked = (): boolean => ending.getActiveResourcesInfo().some((name) => THREAD_REQUESTS.test(name));
    await delay(MIN_DELAY_MS);
    while (isBlocked() && nowMs() - startedAtMs < MAX_DELAY_MS) {
        await delay(POLL_INTERVAL_MS);
    }
    if (isBlocked()) {
        ending.kill(ending.pid, "SIGKILL");
    }
    else {
        ending.exit(code);
    }
}
