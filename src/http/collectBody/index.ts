import type { Readable } from "node:stream";
import { BodyBuffer } from "../BodyBuffer/index.js";

/**
 * Reads a body into memory, which grows with its bytes however small its pieces are.
 *
 * @param source - Body to read.
 * @param maxBytes - Maximum size of the body in bytes.
 * @returns The body, or undefined if it is larger; the source is then paused.
 * @throws Error if the source fails or closes before its end.
 * @example
 * const body = await collectBody(request, 65_536);
 */
export function collectBody(source: Readable, maxBytes: number): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
        const body = BodyBuffer.create();
        let isTooLarge = false;
        source.on("data", (piece: Buffer) => {
            isTooLarge ||= body.lengthBytes + piece.length > maxBytes;
            if (isTooLarge) {
                body.clear();
                source.pause();
                resolve(undefined);
                return;
            }
            body.add(piece);
        });
        source.once("end", () => resolve(isTooLarge ? undefined : body.take()));
        source.once("error", reject);
        source.once("close", () => reject(new Error("the body ended prematurely")));
    });
}
