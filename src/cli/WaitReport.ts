/** Addresses of processes, grouped by whether a manifest version is in force there. */
export interface WaitReport {
    readonly inForce: readonly string[];
    readonly behind: readonly string[];
    readonly unreachable: readonly string[];
}
