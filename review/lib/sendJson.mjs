/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { request } from "node:http";

/** Time without a response after which a caller of the platform's interfaces gives up, in ms. */
const TIMEOUT_MS = 1_000;

/**
 * Sends a JSON request on a new connection.
 *
 * @returns Status and body, or undefined if there was no response within a second.
 */
export function sendJson(address, method, path, body) {
    const [host, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
        const headers = text === undefined ? {} : { "content-type": "application/json", "content-length": Buffer.byteLength(text) };
        const call = request({ host, port, method, path, headers, agent: false, timeout: TIMEOUT_MS }, (response) => {
            const chunks = [];
            response.on("data", (chunk) => chunks.push(chunk));
            response.on("end", () => resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString() }));
            response.on("error", () => resolve(undefined));
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(undefined));
        call.end(text);
    });
}
