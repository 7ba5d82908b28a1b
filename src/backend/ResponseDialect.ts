import { HeaderList } from "../model/HeaderList.js";
import { EndpointStatement } from "./EndpointStatement.js";

/** Conventions by which responses of backend servers identify themselves. */
export interface ResponseDialect {
    /** Returns the id of the request that a response belongs to, or undefined if the response has none. */
    readRequestId(headers: HeaderList): string | undefined;
    /** Returns whether a response states that the request was not executed. */
    isNotRun(status: number, headers: HeaderList): boolean;
    /** Reads what the backend server states about itself in a response. */
    readStatement(headers: HeaderList): EndpointStatement;
    /** Returns whether a response carries the signature of a backend server. */
    isSigned(headers: HeaderList): boolean;
}
