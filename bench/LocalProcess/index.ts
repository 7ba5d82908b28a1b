import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";

const MAX_OUTPUT_CHARACTERS = 20_000;

/** A child process that runs a Node.js program and keeps its latest output. Signals go to this process id only. */
export class LocalProcess {
    private capturedOutput = "";

    private constructor(private readonly child: ChildProcess | undefined) {
        child?.stdout?.on("data", (data: Buffer) => this.captureOutput(data));
        child?.stderr?.on("data", (data: Buffer) => this.captureOutput(data));
    }

    /** Creates a placeholder for a process that was never started. */
    static createNotStarted(): LocalProcess {
        return new LocalProcess(undefined);
    }

    /**
     * Starts a Node.js program.
     *
     * @param script - Path of the program.
     * @param scriptArguments - Command line arguments of the program.
     */
    static create(script: string, scriptArguments: readonly string[]): LocalProcess {
        return new LocalProcess(spawn(process.execPath, [script, ...scriptArguments], { stdio: ["ignore", "pipe", "pipe"] }));
    }

    /** Latest output of the process, standard output and standard error in order of arrival. */
    get recentOutput(): string {
        return this.capturedOutput;
    }

    /** Exit code, or undefined while the process runs or if a signal ended it. */
    get exitCode(): number | undefined {
        return this.child?.exitCode ?? undefined;
    }

    /** Whether the process was started and has not exited. */
    get isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Sends a signal to the process. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /** Sends a signal, waits for the process to exit and returns its exit code. */
    async stop(signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        if (this.child !== undefined && this.isRunning) {
            const exit = once(this.child, "exit");
            this.child.kill(signal);
            await exit;
        }
        return this.exitCode;
    }

    private captureOutput(data: Buffer): void {
        this.capturedOutput = (this.capturedOutput + data.toString()).slice(-MAX_OUTPUT_CHARACTERS);
    }
}
