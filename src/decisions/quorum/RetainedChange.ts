/** Outcome of an accepted change, kept so that the same change sent again gets it again. */
export interface RetainedChange {
    readonly changeId: string;
    readonly manifestVersion: number;
}
