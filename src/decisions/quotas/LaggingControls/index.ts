/** Time for which a control VM may lag before it is left out, in ms; longer than the interval of the heartbeats that state positions. */
const MAX_LAG_MS = 1_200;

interface Lag {
    readonly position: number;
    readonly sinceMs: number;
}

/**
 * Finds the control VMs that have not applied the latest configuration for some time, because they are cut off from the others.
 * Such a control VM would grant tokens by limits that are no longer in force.
 *
 * Designed for a limit that is lowered while a control VM can be reached by proxies, but not by the other control VMs.
 */
export class LaggingControls {
    private lags = new Map<string, Lag>();

    private constructor() {}

    /** Creates a finder that knows of no lag. */
    static create(): LaggingControls {
        return new LaggingControls();
    }

    /**
     * Updates the lags.
     *
     * @param positions - Log positions that the control VMs have stated.
     * @param latest - Latest position known.
     * @param nowMs - Current time.
     */
    update(positions: ReadonlyMap<string, number>, latest: number, nowMs: number): void {
        const behind = [...positions].filter(([, position]) => position < latest);
        this.lags = new Map(behind.map(([vm, position]) => {
            const known = this.lags.get(vm);
            // One that advances hears of changes, however fast they follow each other.
            return [vm, known?.position === position ? known : { position, sinceMs: nowMs }];
        }));
    }

    /** Returns whether a control VM lags. */
    isLagging(vm: string, nowMs: number): boolean {
        return nowMs - (this.lags.get(vm)?.sinceMs ?? nowMs) > MAX_LAG_MS;
    }
}
