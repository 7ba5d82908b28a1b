/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Recorder } from "./Recorder.mjs";

const MAX_RUN_MS = 115_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 *
 * @param url - `import.meta.url` of the script; the record is written beside it.
 * @param play - Plays the case: `(context) => Promise<string | undefined>`. Resolves to what broke the rule, or undefined. Adds
 *   to `context.closers` whatever has to be closed.
 */
export async function runCase(url, play) {
    const recorder = Recorder.create(join(dirname(fileURLToPath(url)), "record.txt"));
    const closers = [];
    const hasTrouble = process.env.TROUBLE !== "0";
    let exitCode = EXIT_NOT_RUN;
    const abort = (reason) => {
        process.stderr.write(`could not run: ${reason}\n`);
        void closeAll(closers).then(() => process.exit(EXIT_NOT_RUN));
    };
    process.once("uncaughtException", (error) => abort(error.stack));
    process.once("SIGTERM", () => abort("stopped by a signal"));
    process.once("SIGINT", () => abort("stopped by a signal"));
    const watchdog = setTimeout(() => abort("out of time"), MAX_RUN_MS);
    try {
        recorder.record("start", { hasTrouble });
        const breach = await play({ recorder, closers, hasTrouble });
        recorder.record(breach === undefined ? "rule held" : "rule broken", { breach });
        process.stdout.write(breach === undefined ? "rule held\n" : `rule broken: ${breach}\n`);
        exitCode = breach === undefined ? EXIT_HELD : EXIT_BROKEN;
    }
    catch (thrown) {
        recorder.record("could not run", { error: String(thrown) });
        process.stderr.write(`could not run: ${thrown?.stack ?? thrown}\n`);
    }
    await closeAll(closers);
    clearTimeout(watchdog);
    process.exit(exitCode);
}

async function closeAll(closers) {
    for (const close of closers.reverse()) {
        await close();
    }
}
