import { MemberStamp } from "./MemberStamp.js";

/** Report by an observer that it cannot reach a member. The member refutes it by publishing a newer record. */
export interface Suspicion {
    readonly member: MemberStamp;
    /** VM that could not reach the member. */
    readonly observer: string;
}
