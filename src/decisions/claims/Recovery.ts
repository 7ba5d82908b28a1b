/** A witness that has copied the claims of another after a restart. */
export interface Recovery {
    readonly vm: string;
    /** Incarnation that copied; votes of earlier incarnations do not count any more. */
    readonly incarnation: string;
}
