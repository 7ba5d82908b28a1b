import VError from "verror";
import { ErrorDetails } from "./ErrorDetails.js";
import { Step } from "./Step.js";

/** Error with the step in which it occurred and the peer concerned. */
export class FleetError extends VError {
    readonly step: Step;
    readonly peer: string;

    private constructor(details: ErrorDetails, message: string) {
        const options = { name: "FleetError", info: { step: details.step, peer: details.peer }, skipCauseMessage: true };
        super(details.cause === undefined ? options : { ...options, cause: details.cause }, "%s", message);
        this.step = details.step;
        this.peer = details.peer;
    }

    /**
     * Creates an error.
     *
     * @param details - Step, peer and cause.
     * @param message - What went wrong, in one line.
     */
    static create(details: ErrorDetails, message: string): FleetError {
        return new FleetError(details, `${details.step} ${details.peer}: ${message}`);
    }
}
