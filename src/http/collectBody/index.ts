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
export async function collectBody(source: Readable, maxBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of source as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
