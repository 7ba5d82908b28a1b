import { HeaderList } from "../model/HeaderList.js";
import { CallerTerms } from "./CallerTerms.js";

/** How callers say what they want, and how they are told of refusals. */
export interface CallerDialect {
    /** Reads a caller's terms from its header fields. */
    readTerms(headers: HeaderList): CallerTerms;
    /** Header fields of a caller that go on to the endpoint. */
    forwardedHeaders(headers: HeaderList): HeaderList;
    /** Header fields of an answer that the entry gives itself. */
    ownAnswerHeaders(requestId: string, retryAfterMs: number | undefined): HeaderList;
    /** True if an answer of an endpoint is its own and whole, as far as its header fields tell. */
    isGenuine(status: number, headers: HeaderList): boolean;
}
