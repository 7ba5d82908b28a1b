import { PeerIdentity } from "./PeerIdentity.js";

/** Settings of a process's links. */
export interface LinkSettings {
    readonly identity: PeerIdentity;
    readonly host: string;
    readonly port: number;
    readonly fleetKey: string;
}
