/** Connection whose peer does not read what the process holds for it. */
export interface Holder {
    readonly heldBytes: number;
    /** Time since which the peer has read nothing of it, in ms. */
    readonly unreadSinceMs: number;
    /** Closes the connection. */
    close(): void;
}
