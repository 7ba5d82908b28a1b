/**
 * Measures the heap memory that a value retains.
 *
 * @param create - Creates the value.
 * @returns Bytes; needs Node.js to run with `--expose-gc`.
 * @example
 * measureMemory(() => new Array(1_000).fill(0));
 */
export function measureMemory(create: () => unknown): number {
    collectGarbage();
    const beforeBytes = process.memoryUsage().heapUsed;
    const value = create();
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - beforeBytes;
    return value === undefined ? 0 : bytes;
}

function collectGarbage(): void {
    if (globalThis.gc === undefined) {
        throw new Error("run Node.js with --expose-gc");
    }
    globalThis.gc();
    globalThis.gc();
}
