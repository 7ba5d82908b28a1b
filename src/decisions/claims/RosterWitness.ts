/** A proxy that keeps claims on idempotency keys. */
export interface RosterWitness {
    readonly vm: string;
    /** Incarnation that the process had when it entered the roster; from then on its memory is complete. */
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly linkAddress: string;
}
