import { EndpointRecord } from "./EndpointRecord.js";
import { MemberState } from "./MemberState.js";
import { Role } from "./Role.js";

/** State of a member, written only by the member itself. Of several records the highest (startedAtMs, sequence) wins. */
export interface MemberRecord {
    /** Name of the VM that owns the record. */
    readonly vm: string;
    /** Wall-clock time at which the process started, in ms; orders the incarnations of one owner. */
    readonly startedAtMs: number;
    /** Identity of the process; never reused after a restart. */
    readonly incarnation: string;
    /** Increased by the owner with each change. */
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
