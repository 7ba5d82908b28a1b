/** Memory of this process. */
export interface MemoryUsage {
    /** Bytes in use on the JavaScript heap. */
    readonly heapUsedBytes: number;
    /** Size at which the JavaScript heap is full and the process aborts. */
    readonly heapLimitBytes: number;
    /** Bytes outside of the heap that its objects hold, such as buffers. */
    readonly externalBytes: number;
    /** Bytes that the kernel counts for the process; undefined while they cannot be read, since that takes a descriptor. */
    readonly residentBytes: number | undefined;
}
