/**
 * Limits the bytes that are buffered in memory at the same time for one purpose.
 *
 * Designed for many large bodies at once, each of which is within its own limit.
 */
export class ByteBudget {
    private acquiredBytes = 0;

    private constructor(private readonly maxBytes: number) {}

    /**
     * Creates an unused budget.
     *
     * @param maxBytes - Maximum number of bytes in use.
     */
    static create(maxBytes: number): ByteBudget {
        return new ByteBudget(maxBytes);
    }

    /** Number of bytes in use. */
    get heldBytes(): number {
        return this.acquiredBytes;
    }

    /** Maximum number of bytes in use. */
    get limitBytes(): number {
        return this.maxBytes;
    }

    /** Acquires bytes; returns false and acquires nothing if too few are left. */
    tryAcquire(bytes: number): boolean {
        if (this.acquiredBytes + bytes > this.maxBytes) {
            return false;
        }
        this.acquiredBytes += bytes;
        return true;
    }

    /** Releases acquired bytes. */
    release(bytes: number): void {
        this.acquiredBytes -= bytes;
    }
}
