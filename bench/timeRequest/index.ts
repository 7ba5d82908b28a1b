import { request } from "undici";
import { TimedAnswer } from "../TimedAnswer.js";
import { TimedRequest } from "../TimedRequest.js";

/**
 * Sends a request, reads the whole answer and takes the time.
 *
 * @param timed - The request.
 * @returns The answer and how long it took.
 * @throws Error if the answer does not come whole.
 * @example
 * (await timeRequest({ address: "127.0.0.1:7101", method: "GET", path: "/lookup/a" })).durationMs;
 */
export async function timeRequest(timed: TimedRequest): Promise<TimedAnswer> {
    const startedAtMs = performance.now();
    const answer = await request(`http://${timed.address}${timed.path}`, {
        method: timed.method,
        headers: timed.headers ?? {},
        body: timed.body ?? null,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const body = Buffer.from(await answer.body.arrayBuffer());
    return { status: answer.statusCode, headers: answer.headers, body, durationMs: performance.now() - startedAtMs };
}
