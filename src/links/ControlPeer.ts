/** Address and identity of a control VM, as processes exchange them. */
export interface ControlPeer {
    readonly vm: string;
    /** `host:port` at which the VM accepts links. */
    readonly linkAddress: string;
    /** Identity of the VM's data folder; a VM that lost its disk has a new identity. */
    readonly identity: string;
}
