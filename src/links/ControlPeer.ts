/** A control VM as others are told of it. */
export interface ControlPeer {
    readonly vm: string;
    /** `host:port` at which it takes links. */
    readonly linkAddress: string;
    /** Identity of its data folder: a new one after its disk was lost. */
    readonly identity: string;
}
