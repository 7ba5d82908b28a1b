import type { IncomingMessage } from "node:http";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { BodyLimits } from "../BodyLimits.js";
import { BodyResult } from "../BodyResult.js";
import { BodyResultKind } from "../BodyResultKind.js";

/**
 * Reads the body of a request into memory. The bytes of a complete body stay reserved in the budget.
 *
 * @param request - Request whose header section has been read.
 * @param limits - Limits on this body.
 * @param budget - Limit on the buffered bytes of the bodies of all requests.
 * @returns The body, or the reason why it could not be read; the request is then paused.
 * @example
 * const result = await readBody(request, { maxBytes: 65_536, idleTimeoutMs: 15_000 }, budget);
 */
export function readBody(request: IncomingMessage, limits: BodyLimits, budget: ByteBudget): Promise<BodyResult> {
    if (Number(request.headers["content-length"] ?? 0) > limits.maxBytes) {
        return Promise.resolve({ kind: BodyResultKind.TooLarge });
    }
    return new Promise((resolve) => {
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        let isFinished = false;
        const finish = (result: BodyResult): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            clearTimeout(timer);
            if (result.kind !== BodyResultKind.Complete) {
                budget.release(receivedBytes);
                request.pause();
            }
            resolve(result);
        };
        const timer = setTimeout(() => finish({ kind: BodyResultKind.Stalled }), limits.idleTimeoutMs);
        request.on("data", (chunk: Buffer) => {
            if (isFinished) {
                return;
            }
            if (receivedBytes + chunk.length > limits.maxBytes) {
                finish({ kind: BodyResultKind.TooLarge });
            }
            else if (!budget.tryAcquire(chunk.length)) {
                finish({ kind: BodyResultKind.BudgetExhausted });
            }
            else {
                receivedBytes += chunk.length;
                chunks.push(chunk);
                timer.refresh();
            }
        });
        request.once("end", () => finish({ kind: BodyResultKind.Complete, body: Buffer.concat(chunks) }));
        request.once("error", () => finish({ kind: BodyResultKind.Aborted }));
        request.once("close", () => finish({ kind: BodyResultKind.Aborted }));
    });
}
