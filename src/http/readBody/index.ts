import type { IncomingMessage } from "node:http";
import { MAX_TIMER_MS } from "../../clock/maxTimerMs.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { PieceLimit } from "../../decisions/limits/PieceLimit/index.js";
import { BodyBuffer } from "../BodyBuffer/index.js";
import { BodyLimits } from "../BodyLimits.js";
import { BodyResult } from "../BodyResult.js";
import { BodyResultKind } from "../BodyResultKind.js";

/**
 * Reads the body of a request into memory, which grows with its bytes however small its pieces are. The bytes of a complete
 * body stay reserved in the budget.
 *
 * @param request - Request whose header section has been read.
 * @param limits - Limits on this body.
 * @param budget - Limit on the buffered bytes of the bodies of all requests.
 * @returns The body, or the reason why it could not be read; the request is then paused.
 * @example
 * const result = await readBody(request, { maxBytes: 65_536, idleTimeoutMs: 15_000, totalTimeoutMs: 60_000 }, budget);
 */
export function readBody(request: IncomingMessage, limits: BodyLimits, budget: ByteBudget): Promise<BodyResult> {
    if (Number(request.headers["content-length"] ?? 0) > limits.maxBytes) {
        return Promise.resolve({ kind: BodyResultKind.TooLarge });
    }
    return new Promise((resolve) => {
        const body = BodyBuffer.create();
        const pieceLimit = PieceLimit.create();
        let isFinished = false;
        const finish = (kind: BodyResultKind): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            clearTimeout(idleTimer);
            clearTimeout(totalTimer);
            if (kind === BodyResultKind.Complete) {
                resolve({ kind, body: body.take() });
                return;
            }
            budget.release(body.lengthBytes);
            body.clear();
            request.pause();
            resolve({ kind });
        };
        const idleTimer = setTimeout(() => finish(BodyResultKind.Stalled), limits.idleTimeoutMs);
        const totalTimer = setTimeout(() => finish(BodyResultKind.Stalled), Math.min(MAX_TIMER_MS, limits.totalTimeoutMs));
        request.on("data", (piece: Buffer) => {
            if (isFinished) {
                return;
            }
            if (body.lengthBytes + piece.length > limits.maxBytes) {
                finish(BodyResultKind.TooLarge);
            }
            else if (!pieceLimit.tryAdd(piece.length)) {
                finish(BodyResultKind.TooManyPieces);
            }
            else if (!budget.tryAcquire(piece.length)) {
                finish(BodyResultKind.BudgetExhausted);
            }
            else {
                body.add(piece);
                idleTimer.refresh();
            }
        });
        request.once("end", () => finish(BodyResultKind.Complete));
        request.once("error", () => finish(BodyResultKind.Aborted));
        request.once("close", () => finish(BodyResultKind.Aborted));
    });
}
