import { AnswerDialect } from "../backend/AnswerDialect.js";
import { HeaderList } from "../model/HeaderList.js";
import { WorkOffer } from "../tunnel/WorkOffer.js";

/** How requests are written to backend servers, and how their answers are read. */
export interface EndpointDialect extends AnswerDialect {
    /** Header fields of a request as its endpoint gets it. */
    requestHeaders(offer: WorkOffer, remainingMs: number): HeaderList;
}
