/** A proxy that stores claims on idempotency keys. */
export interface RosterWitness {
    readonly vm: string;
    /** Incarnation of the process when it joined the roster; while it is unchanged, the witness has all its claims. */
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly linkAddress: string;
}
