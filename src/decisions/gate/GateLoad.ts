/** Load of one endpoint, counted by its gate in attempts. */
export interface GateLoad {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
}
