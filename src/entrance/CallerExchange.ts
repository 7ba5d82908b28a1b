import { CallerAnswer } from "./CallerAnswer.js";
import { CallerRequest } from "./CallerRequest.js";

/** A request of a caller and the way back to it. */
export interface CallerExchange {
    readonly request: CallerRequest;
    /** Gives the answer; later calls do nothing. */
    answer(answer: CallerAnswer): void;
    /** Calls back once if the caller goes before it has an answer. */
    onGone(listener: () => void): void;
}
