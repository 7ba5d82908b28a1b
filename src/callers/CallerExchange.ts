import { CallerResponse } from "./CallerResponse.js";
import { CallerRequest } from "./CallerRequest.js";

/** Request of a caller and the means to respond to it. */
export interface CallerExchange {
    readonly request: CallerRequest;
    /** Sends the response. Further calls have no effect. */
    respond(response: CallerResponse): void;
    /** Sets a listener that is called once if the caller disconnects before it has a response. */
    onDisconnect(listener: () => void): void;
}
