/** Kinds of `ProxyMessage`. */
export enum ProxyMessageKind {
    /** Asks a proxy which control VMs it reaches. */
    RelayQuery = "relay-query",
    /** States which control VMs a proxy reaches. */
    RelayStatement = "relay-statement",
    /** Asks for tokens of a control VM, through the proxy that gets it. */
    RelayedAsk = "relayed-ask",
    /** Reply of that control VM. */
    RelayedGrant = "relayed-grant",
}
