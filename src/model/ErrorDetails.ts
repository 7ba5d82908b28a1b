import { Step } from "./Step.js";

/** Where and why an error occurred. */
export interface ErrorDetails {
    /** Step of the program in which the error occurred. */
    readonly step: Step;
    /** Peer that the step concerned: a VM, an endpoint, a file or an address. */
    readonly peer: string;
    /** Error that caused this one. */
    readonly cause?: Error;
}
