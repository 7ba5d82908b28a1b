import type { Readable } from "node:stream";

/**
 * Reads a body into memory.
 *
 * @param source - Body to read.
 * @param maxBytes - Most bytes to take.
 * @returns The body, or undefined if it is longer; the source is not read further then.
 * @throws Error if the source breaks.
 * @example
 * const body = await collectBody(request, 65_536);
 */
export function collectBody(source: Readable, maxBytes: number): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        source.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                source.pause();
                resolve(undefined);
                return;
            }
            chunks.push(chunk);
        });
        source.once("end", () => resolve(Buffer.concat(chunks)));
        source.once("error", reject);
        source.once("close", () => reject(new Error("the body broke off")));
    });
}
