import { BackendCall } from "../BackendCall.js";

/**
 * Writes a request as HTTP/1.1 with a length.
 *
 * @param call - The request; its header fields are checked by the parser that took it from its caller.
 * @returns The bytes to send.
 * @example
 * encodeCall({ method: "GET", path: "/", headers: [], body: Buffer.alloc(0), hasBody: false, requestId: "1" });
 */
export function encodeCall(call: BackendCall): Buffer {
    const lines = [`${call.method} ${call.path} HTTP/1.1`, ...call.headers.map(([name, value]) => `${name}: ${value}`)];
    if (call.hasBody) {
        lines.push(`Content-Length: ${call.body.length}`);
    }
    const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
    return call.body.length > 0 ? Buffer.concat([head, call.body]) : head;
}
