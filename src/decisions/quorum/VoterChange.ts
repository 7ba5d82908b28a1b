/** Addition or removal of one voter. */
export interface VoterChange {
    readonly identity: string;
    /** True to add the identity as a voter, false to remove it. */
    readonly isAddition: boolean;
}
