import { AttemptId } from "../../../model/AttemptId.js";

/**
 * Formats an attempt id as text, for map keys and headers.
 *
 * @param id - Id of the attempt.
 * @returns `<entry>#<sequence>`.
 * @example
 * attemptKey({ entry: "vm-1@17", sequence: 3 }); // "vm-1@17#3"
 */
export function attemptKey(id: AttemptId): string {
    return `${id.entry}#${id.sequence}`;
}
