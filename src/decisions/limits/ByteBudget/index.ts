/**
 * Bytes that may be held in memory at the same time for one purpose.
 *
 * Answers for many large bodies at once, each of which is within its own limit.
 */
export class ByteBudget {
    private held = 0;

    private constructor(private readonly maxBytes: number) {}

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes - Most bytes that may be held.
     */
    static create(maxBytes: number): ByteBudget {
        return new ByteBudget(maxBytes);
    }

    /** Bytes held now. */
    get heldBytes(): number {
        return this.held;
    }

    /** Takes bytes out of the budget; false, with nothing taken, if there are not as many left. */
    take(bytes: number): boolean {
        if (this.held + bytes > this.maxBytes) {
            return false;
        }
        this.held += bytes;
        return true;
    }

    /** Gives bytes back that were taken. */
    give(bytes: number): void {
        this.held -= bytes;
    }
}
