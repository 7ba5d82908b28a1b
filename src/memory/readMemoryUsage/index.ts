import { getHeapStatistics } from "node:v8";
import { MemoryUsage } from "../MemoryUsage.js";

/**
 * Reads the memory of this process.
 *
 * @returns The sizes, in bytes.
 * @example
 * readMemoryUsage().heapUsedBytes;
 */
export function readMemoryUsage(): MemoryUsage {
    const { used_heap_size: heapUsedBytes, heap_size_limit: heapLimitBytes, external_memory: externalBytes } = getHeapStatistics();
    return { heapUsedBytes, heapLimitBytes, externalBytes, residentBytes: process.memoryUsage.rss() };
}
