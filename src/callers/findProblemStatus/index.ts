import type { IncomingMessage } from "node:http";
import { countHeaderBytes } from "../../http/countHeaderBytes/index.js";
import { findFramingProblem } from "../../http/findFramingProblem/index.js";
import { HeaderList } from "../../model/HeaderList.js";

const CONTINUE_EXPECTATION = "100-continue";
const STATUS_BAD_REQUEST = 400;
const STATUS_EXPECTATION_FAILED = 417;
const STATUS_HEADERS_TOO_LARGE = 431;

/**
 * Finds the status with which a request is refused before its body is read.
 *
 * @param request - Request whose header section has been read.
 * @param headers - Its header fields.
 * @param maxHeaderBytes - Maximum size of the header section in bytes.
 * @returns The status, or undefined if the header section is fine.
 * @example
 * findProblemStatus(request, pairHeaders(request.rawHeaders), 16_384); // undefined
 */
export function findProblemStatus(request: IncomingMessage, headers: HeaderList, maxHeaderBytes: number): number | undefined {
    if (countHeaderBytes(request) > maxHeaderBytes) {
        return STATUS_HEADERS_TOO_LARGE;
    }
    if ((request.headers.expect ?? CONTINUE_EXPECTATION).toLowerCase() !== CONTINUE_EXPECTATION) {
        return STATUS_EXPECTATION_FAILED;
    }
    // The parser of Node.js accepts transfer codings before the chunks, which would be lost when the body is forwarded.
    return findFramingProblem(headers, request.httpVersionMinor > 0) === undefined ? undefined : STATUS_BAD_REQUEST;
}
