import { MemberState } from "../model/MemberState.js";

/** What a process knows of another member. */
export interface MemberStatus {
    readonly vm: string;
    readonly failureDomain: string;
    readonly state: MemberState;
    /** True if it cannot be reached by anybody. */
    readonly lost: boolean;
}
