import { PeerIdentity } from "./PeerIdentity.js";

/** Settings for the links of a process. */
export interface LinkSettings {
    readonly identity: PeerIdentity;
    readonly host: string;
    readonly port: number;
    readonly fleetKey: string;
}
