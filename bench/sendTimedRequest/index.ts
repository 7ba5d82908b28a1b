import { request } from "undici";
import { TimedResponse } from "../TimedResponse.js";
import { TimedRequest } from "../TimedRequest.js";

/**
 * Sends a request, reads the whole response and measures the duration. Has no timeout of its own.
 *
 * @param timedRequest - Request to send.
 * @returns The response and its duration.
 * @throws Error if the response is not received completely.
 * @example
 * (await timeRequest({ address: "127.0.0.1:7101", method: "GET", path: "/lookup/a" })).durationMs;
 */
export async function sendTimedRequest(timedRequest: TimedRequest): Promise<TimedResponse> {
    const startedAtMs = performance.now();
    const response = await request(`http://${timedRequest.address}${timedRequest.path}`, {
        method: timedRequest.method,
        headers: timedRequest.headers ?? {},
        body: timedRequest.body ?? null,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const body = Buffer.from(await response.body.arrayBuffer());
    return { status: response.statusCode, headers: response.headers, body, durationMs: performance.now() - startedAtMs };
}
