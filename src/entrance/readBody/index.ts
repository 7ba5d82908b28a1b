import type { IncomingMessage } from "node:http";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { BodyLimits } from "../BodyLimits.js";
import { BodyResult } from "../BodyResult.js";
import { BodyResultKind } from "../BodyResultKind.js";

/**
 * Reads the body of a caller's request into memory. The bytes of a whole body stay taken out of the budget.
 *
 * @param request - Request whose head has been read.
 * @param limits - Bounds on this body.
 * @param budget - Bytes that the bodies of all requests may hold together.
 * @returns The body, or why there is none; the request is not read further then.
 * @example
 * const result = await readBody(request, { maxBytes: 65_536, stallMs: 15_000 }, budget);
 */
export function readBody(request: IncomingMessage, limits: BodyLimits, budget: ByteBudget): Promise<BodyResult> {
    if (Number(request.headers["content-length"] ?? 0) > limits.maxBytes) {
        return Promise.resolve({ kind: BodyResultKind.TooLarge });
    }
    return new Promise((resolve) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        let isDone = false;
        const finish = (result: BodyResult): void => {
            if (isDone) {
                return;
            }
            isDone = true;
            clearTimeout(timer);
            if (result.kind !== BodyResultKind.Whole) {
                budget.release(bytes);
                request.pause();
            }
            resolve(result);
        };
        const timer = setTimeout(() => finish({ kind: BodyResultKind.Stalled }), limits.stallMs);
        request.on("data", (chunk: Buffer) => {
            if (isDone) {
                return;
            }
            if (bytes + chunk.length > limits.maxBytes) {
                finish({ kind: BodyResultKind.TooLarge });
            }
            else if (!budget.tryAcquire(chunk.length)) {
                finish({ kind: BodyResultKind.NoRoom });
            }
            else {
                bytes += chunk.length;
                chunks.push(chunk);
                timer.refresh();
            }
        });
        request.once("end", () => finish({ kind: BodyResultKind.Whole, body: Buffer.concat(chunks) }));
        request.once("error", () => finish({ kind: BodyResultKind.BrokenOff }));
        request.once("close", () => finish({ kind: BodyResultKind.BrokenOff }));
    });
}
