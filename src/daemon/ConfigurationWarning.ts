import { EventNumber } from "../logs/EventNumber.js";

/** A mismatch between an accepted configuration and the fleet. */
export interface ConfigurationWarning {
    /** Event that reports the mismatch. */
    readonly event: EventNumber;
    /** Service or VM concerned. */
    readonly subject: string;
    /** Values that do not match. */
    readonly detail: string;
}
