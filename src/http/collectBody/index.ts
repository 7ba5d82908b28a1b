import type { Readable } from "node:stream";

/**
 * Reads a body into memory.
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
        const chunks: Buffer[] = [];
        let receivedBytes = 0;
        source.on("data", (chunk: Buffer) => {
            receivedBytes += chunk.length;
            if (receivedBytes > maxBytes) {
                source.pause();
                resolve(undefined);
                return;
            }
            chunks.push(chunk);
        });
        source.once("end", () => resolve(Buffer.concat(chunks)));
        source.once("error", reject);
        source.once("close", () => reject(new Error("the body ended prematurely")));
    });
}
