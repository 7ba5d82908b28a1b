import { HeaderList } from "../model/HeaderList.js";

/** How answers of backend servers tell what they belong to. */
export interface AnswerDialect {
    /** Id of the request that an answer belongs to, or undefined if it does not say. */
    requestIdOf(headers: HeaderList): string | undefined;
    /** True if the answer says that the request has not run. */
    saysNotRun(status: number, headers: HeaderList): boolean;
    /** True if the answer is signed as one of a backend server. */
    isSigned(headers: HeaderList): boolean;
}
