import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";

/**
 * Checks whether an endpoint's grade excludes it from running a request: a doubted endpoint gets no non-repeatable
 * requests, an ejected one no requests at all. Probes and last-resort requests are exempt, which the caller checks.
 *
 * @param grade - Grade of the endpoint.
 * @param request - The request.
 * @returns True if the endpoint must not run the request.
 * @example
 * isBlockedByGrade(Grade.Doubted, { requestKind: RequestKind.Once }); // true
 */
export function isBlockedByGrade(grade: Grade, request: { readonly requestKind: RequestKind }): boolean {
    switch (grade) {
        case Grade.Trusted:
            return false;
        case Grade.Doubted:
            return request.requestKind === RequestKind.Once;
        case Grade.Ejected:
            return true;
    }
}
