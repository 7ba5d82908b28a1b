/** A control VM with a live link, from which a proxy can receive updates. */
export interface SourceCandidate {
    readonly vm: string;
    readonly failureDomain: string;
    /** Log position up to which it has applied configuration changes, according to its latest heartbeat. */
    readonly position: number;
}
