import { BackendRequest } from "../BackendRequest.js";

/**
 * Encodes a request as HTTP/1.1. A body is framed by its length, and is not copied: it is held until the backend server has
 * read it.
 *
 * @param request - The request. Its header fields were validated by the parser that read them from the caller.
 * @returns The pieces to write: the head, and the body unless it is empty.
 * @example
 * encodeRequest({ method: "GET", path: "/", headers: [], body: Buffer.alloc(0), hasBody: false, requestId: "1" });
 */
export function encodeRequest(request: BackendRequest): readonly Buffer[] {
    const lines = [`${request.method} ${request.path} HTTP/1.1`, ...request.headers.map(([name, value]) => `${name}: ${value}`)];
    if (request.hasBody) {
        lines.push(`Content-Length: ${request.body.length}`);
    }
    const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
    return request.body.length > 0 ? [head, request.body] : [head];
}
