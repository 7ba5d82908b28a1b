import { HeaderList } from "../model/HeaderList.js";
import { StatementDialect } from "./StatementDialect.js";

/** Conventions by which responses of backend servers identify themselves. */
export interface ResponseDialect extends StatementDialect {
    /** Returns the id of the request that a response belongs to, or undefined if the response has none. */
    readRequestId(headers: HeaderList): string | undefined;
    /** Returns whether a response states that the request was not executed. */
    isNotRun(status: number, headers: HeaderList): boolean;
    /** Returns whether a response carries the signature of a backend server. */
    isSigned(headers: HeaderList): boolean;
}
