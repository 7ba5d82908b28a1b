import { createHash } from "node:crypto";

/**
 * Makes the body that a name stands for: the same bytes for the same name and size, wherever it is made.
 *
 * @param name - Name of the document.
 * @param bytes - Size.
 * @returns The body.
 * @example
 * makeBody("/drawings/1", 1_024).length; // 1024
 */
export function makeBody(name: string, bytes: number): Buffer {
    const seed = createHash("sha256").update(name).digest();
    return Buffer.alloc(bytes, seed);
}
