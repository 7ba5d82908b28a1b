/** Load of one endpoint as its gate counts it. */
export interface GateLoad {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
}
