import { Role } from "../model/Role.js";

/** Who is at the other end of a link. */
export interface PeerIdentity {
    readonly vm: string;
    readonly startedAtMs: number;
    readonly failureDomain: string;
    readonly roles: readonly Role[];
    /** `host:port` at which the peer takes links. */
    readonly linkAddress: string;
}
