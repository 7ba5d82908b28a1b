import { MemberState } from "../model/MemberState.js";

/** Status of a member, as known to one process. */
export interface MemberStatus {
    readonly vm: string;
    readonly failureDomain: string;
    readonly state: MemberState;
    /** True if no member can reach it. */
    readonly lost: boolean;
}
