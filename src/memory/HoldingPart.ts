import { Holder } from "./Holder.js";

/** One kind of what a process holds for others. */
export interface HoldingPart {
    /** Name in the log, such as `unread responses`. */
    readonly name: string;
    /** True if it consists of requests that wait for their endpoint, which no close would speed up. */
    readonly isRequests: boolean;
    readonly readHeldBytes: () => number;
    /** Returns the connections that may be closed to release it. */
    readonly findHolders: () => readonly Holder[];
}
