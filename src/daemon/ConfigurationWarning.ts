import { EventNumber } from "../logs/EventNumber.js";

/** Something in an accepted configuration that does not fit the fleet. */
export interface ConfigurationWarning {
    readonly event: EventNumber;
    readonly subject: string;
    readonly detail: string;
}
