/** What a leader knows of a control VM by the replies of one of its identities. */
export interface PeerContact {
    readonly identity: string;
    /** Time since the last reply, in ms; since the start of the term if there was none in it. */
    readonly silentMs: number;
    /** True if the identity has replied in the current term. */
    readonly hasReplied: boolean;
    /** True if the identity replies and lacks only a few entries, so that it can become a voter. */
    readonly hasCaughtUp: boolean;
}
