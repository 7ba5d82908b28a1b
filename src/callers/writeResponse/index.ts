import type { ServerResponse } from "node:http";
import { findHeader } from "../../http/findHeader/index.js";
import { withoutConnectionHeaders } from "../../http/withoutConnectionHeaders/index.js";
import { HeaderList } from "../../model/HeaderList.js";
import { CallerResponse } from "../CallerResponse.js";

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/**
 * Writes a response, framed by the length of its body. Of one whose body comes in pieces it writes the head: framed by the length
 * that the endpoint has declared, or else in chunks.
 *
 * @param response - Response of the HTTP server.
 * @param method - Method of the request.
 * @param callerResponse - What to write.
 * @throws Error before anything is written if Node.js rejects the status or a header field.
 * @example
 * writeResponse(response, "GET", { status: 200, headers: [], body: Buffer.from("ok") });
 */
export function writeResponse(response: ServerResponse, method: string, callerResponse: CallerResponse): void {
    response.writeHead(callerResponse.status, framedHeaders(method, callerResponse).flat());
    if (callerResponse.stream === undefined) {
        response.end(callerResponse.body);
    }
}

function framedHeaders(method: string, response: CallerResponse): HeaderList {
    const headers = withoutConnectionHeaders(response.headers);
    const isBodiless = response.status === STATUS_NO_CONTENT || response.status === STATUS_NOT_MODIFIED;
    if (isBodiless) {
        return headers;
    }
    const isStreamed = response.stream !== undefined;
    const declaredLength = method === "HEAD" || isStreamed ? findHeader(response.headers, "content-length") : undefined;
    if (isStreamed && declaredLength === undefined) {
        return headers;
    }
    return [...headers, ["Content-Length", declaredLength ?? String(response.body.length)]];
}
