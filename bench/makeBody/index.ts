import { createHash } from "node:crypto";

/**
 * Generates the body of a document from its name: the same name and size give the same bytes in every process.
 *
 * @param name - Name of the document.
 * @param sizeBytes - Size of the body, in bytes.
 * @returns The generated body.
 * @example
 * makeBody("/drawings/1", 1_024).length; // 1024
 */
export function makeBody(name: string, sizeBytes: number): Buffer {
    const seed = createHash("sha256").update(name).digest();
    return Buffer.alloc(sizeBytes, seed);
}
