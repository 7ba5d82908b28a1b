import { BodyResultKind } from "../../http/BodyResultKind.js";
import { assertNever } from "../../model/assertNever/index.js";

const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_BODY_TOO_LARGE = 413;
const STATUS_UNAVAILABLE = 503;

/**
 * Finds the status with which a request is refused whose body could not be read; it has not been executed.
 *
 * @param kind - Why the body could not be read.
 * @returns The status, or undefined if the caller has left.
 * @example
 * findIncompleteBodyStatus(BodyResultKind.TooLarge); // 413
 */
export function findIncompleteBodyStatus(kind: Exclude<BodyResultKind, BodyResultKind.Complete>): number | undefined {
    switch (kind) {
        case BodyResultKind.TooLarge:
        case BodyResultKind.TooManyPieces:
            return STATUS_BODY_TOO_LARGE;
        case BodyResultKind.BudgetExhausted:
            return STATUS_UNAVAILABLE;
        case BodyResultKind.Stalled:
            return STATUS_REQUEST_TIMEOUT;
        case BodyResultKind.Aborted:
            return undefined;
        default:
            return assertNever(kind);
    }
}
