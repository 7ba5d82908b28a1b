/** The part of the process object that delivers signals. */
interface SignalSource {
    on(signal: "SIGHUP" | "SIGINT" | "SIGTERM", listener: () => void): unknown;
}

/**
 * Signals of a process. Without a handler, each of them would end it; so the handlers are installed first of all, and a signal
 * that comes before the process has started is kept until then. Further signals to stop don't interrupt a stop.
 */
export class ProcessSignals {
    private hasReload = false;
    private hasStop = false;
    private isStopping = false;
    private onReload: (() => void) | undefined;
    private onStop: (() => void) | undefined;
    private onEarlyStop: (() => void) | undefined;

    private constructor(source: SignalSource) {
        source.on("SIGHUP", () => this.handleReload());
        source.on("SIGINT", () => this.handleStop());
        source.on("SIGTERM", () => this.handleStop());
    }

    /**
     * Installs the handlers.
     *
     * @param source - The process.
     */
    static create(source: SignalSource): ProcessSignals {
        return new ProcessSignals(source);
    }

    /**
     * Sets what a signal to stop does until the process has started, besides being kept until then.
     *
     * @param onStop - Called when the start has to be given up if it waits for something, also for a signal that came before.
     */
    listenEarly(onStop: () => void): void {
        this.onEarlyStop = onStop;
        if (this.hasStop) {
            onStop();
        }
    }

    /**
     * Sets what the signals do, once the process has started.
     *
     * @param onReload - Called when the settings have to be read again, also for a signal that came before.
     * @param onStop - Called once when the process has to stop, also for a signal that came before.
     */
    listen(onReload: () => void, onStop: () => void): void {
        this.onReload = onReload;
        this.onStop = onStop;
        if (this.hasReload) {
            onReload();
        }
        if (this.hasStop) {
            this.handleStop();
        }
    }

    private handleReload(): void {
        this.hasReload = true;
        this.onReload?.();
    }

    private handleStop(): void {
        this.hasStop = true;
        if (this.onStop === undefined) {
            this.onEarlyStop?.();
        }
        else if (!this.isStopping) {
            this.isStopping = true;
            this.onStop();
        }
    }
}
