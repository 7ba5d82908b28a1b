/** Where a configuration version is in force. */
export interface WaitReport {
    readonly inForce: readonly string[];
    readonly behind: readonly string[];
    readonly unreachable: readonly string[];
}
