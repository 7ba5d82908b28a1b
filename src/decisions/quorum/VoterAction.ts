/** A change of one voter. */
export interface VoterAction {
    readonly identity: string;
    /** True to add it, false to remove it. */
    readonly add: boolean;
}
