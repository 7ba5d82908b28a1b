/** Result of an accepted change, retained so that a retry of the change returns the same result. */
export interface RetainedChange {
    readonly changeId: string;
    readonly manifestVersion: number;
}
