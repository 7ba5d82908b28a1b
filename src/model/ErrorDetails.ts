import { Step } from "./Step.js";

/** Where and why an error arose. */
export interface ErrorDetails {
    /** Step of the program at which the error arose. */
    readonly step: Step;
    /** Peer (VM, endpoint, file or address) that the step was dealing with. */
    readonly peer: string;
    /** Error that caused this one. */
    readonly cause?: Error;
}
