import { EndpointRecord } from "./EndpointRecord.js";
import { MemberState } from "./MemberState.js";
import { Role } from "./Role.js";

/** What a member says about itself. Only the owner writes it; the highest (startedAtMs, sequence) wins. */
export interface MemberRecord {
    /** VM name; the owner of the record. */
    readonly vm: string;
    /** Orders the incarnations of one owner: wall clock time at which the process started, in ms. */
    readonly startedAtMs: number;
    /** Names the process; never used again after a restart. */
    readonly incarnation: string;
    /** Raised by the owner with each change. */
    readonly sequence: number;
    readonly failureDomain: string;
    readonly roles: readonly Role[];
    readonly state: MemberState;
    /** Identity as a control VM; empty without the control role. */
    readonly controlIdentity: string;
    /** `host:port` for links. */
    readonly linkAddress: string;
    /** `host:port` for attempts; empty without the proxy role. */
    readonly gateAddress: string;
    readonly endpoints: readonly EndpointRecord[];
}
