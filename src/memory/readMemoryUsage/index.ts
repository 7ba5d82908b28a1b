import { getHeapStatistics } from "node:v8";
import { MemoryUsage } from "../MemoryUsage.js";

/**
 * Reads the memory of this process.
 *
 * @param readSize - Reads the bytes that the kernel counts; throws while the process has no descriptor left.
 * @returns The sizes, in bytes.
 * @example
 * readMemoryUsage().heapUsedBytes;
 */
export function readMemoryUsage(readSize: () => number = () => process.memoryUsage.rss()): MemoryUsage {
    const { used_heap_size: heapUsedBytes, heap_size_limit: heapLimitBytes, external_memory: externalBytes } = getHeapStatistics();
    return { heapUsedBytes, heapLimitBytes, externalBytes, residentBytes: readOrUndefined(readSize) };
}

/** The process goes on while its descriptors are used up, and its last line is written in any case. */
function readOrUndefined(readSize: () => number): number | undefined {
    try {
        return readSize();
    }
    catch {
        return undefined;
    }
}
