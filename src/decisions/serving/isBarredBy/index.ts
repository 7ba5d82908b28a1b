import { RequestKind } from "../../../model/RequestKind.js";
import { Grade } from "../../fleet/Grade.js";

/**
 * Tells whether an endpoint of a grade is not to be given a request, unless as a trial or as the last resort: a doubted
 * one gets nothing that must not be repeated, and an ejected one nothing at all.
 *
 * @param grade - Grade of the endpoint.
 * @param request - The request.
 * @example
 * isBarredBy(Grade.Doubted, { requestKind: RequestKind.Once }); // true
 */
export function isBarredBy(grade: Grade, request: { readonly requestKind: RequestKind }): boolean {
    switch (grade) {
        case Grade.Trusted:
            return false;
        case Grade.Doubted:
            return request.requestKind === RequestKind.Once;
        case Grade.Ejected:
            return true;
    }
}
