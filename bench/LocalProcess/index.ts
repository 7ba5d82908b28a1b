import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";

const OUTPUT_CHARACTERS = 20_000;

/** A process started for an experiment, ended by its id only. */
export class LocalProcess {
    private text = "";

    private constructor(private readonly child: ChildProcess | undefined) {
        child?.stdout?.on("data", (data: Buffer) => this.keep(data));
        child?.stderr?.on("data", (data: Buffer) => this.keep(data));
    }

    /** Stands for a process that was never started. */
    static createEnded(): LocalProcess {
        return new LocalProcess(undefined);
    }

    /**
     * Starts a Node.js program.
     *
     * @param script - Path of the program.
     * @param options - Its arguments.
     */
    static create(script: string, options: readonly string[]): LocalProcess {
        return new LocalProcess(spawn(process.execPath, [script, ...options], { stdio: ["ignore", "pipe", "pipe"] }));
    }

    /** Latest output of the process. */
    get output(): string {
        return this.text;
    }

    /** Exit code, or undefined while it runs or if a signal ended it. */
    get exitCode(): number | undefined {
        return this.child?.exitCode ?? undefined;
    }

    /** True while the process has not ended. */
    get isRunning(): boolean {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Sends a signal. */
    signal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /** Ends the process and waits for its exit; resolves to its exit code. */
    async stop(signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        if (this.child !== undefined && this.isRunning) {
            const exit = once(this.child, "exit");
            this.child.kill(signal);
            await exit;
        }
        return this.exitCode;
    }

    private keep(data: Buffer): void {
        this.text = (this.text + data.toString()).slice(-OUTPUT_CHARACTERS);
    }
}
