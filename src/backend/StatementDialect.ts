import { HeaderList } from "../model/HeaderList.js";
import { EndpointStatement } from "./EndpointStatement.js";

/** Conventions by which backend servers speak of themselves in their responses. */
export interface StatementDialect {
    /** Reads what the backend server states about itself in a response. */
    readStatement(headers: HeaderList): EndpointStatement;
}
