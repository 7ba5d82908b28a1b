import { Role } from "../model/Role.js";

/** Identity of the process at one end of a link. */
export interface PeerIdentity {
    readonly vm: string;
    readonly startedAtMs: number;
    readonly failureDomain: string;
    readonly roles: readonly Role[];
    /** `host:port` at which the process accepts links. */
    readonly linkAddress: string;
    /** True if the process reads packed heartbeats; absent in processes of earlier versions. */
    readonly readsPackedHeartbeats?: boolean;
    /** True if the process reads compressed frames; absent in processes of earlier versions. */
    readonly readsDeflatedFrames?: boolean;
}
