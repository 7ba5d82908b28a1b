/** Number of pieces that a body may have whatever their size; a few hundredths of a second of work. */
const FREE_PIECES = 16_384;
/** Minimum mean size of the pieces beyond those, in bytes. */
const MIN_MEAN_PIECE_BYTES = 256;

/**
 * Limits the number of pieces in which a body arrives. Each one costs a call of the HTTP parser, however small it is, so that
 * a body of small pieces would occupy the processor long before its bytes reach a limit.
 */
export class PieceLimit {
    private pieces = 0;
    private bytes = 0;

    private constructor() {}

    /**
     * Creates a limit for one body.
     *
     * @example
     * const limit = PieceLimit.create();
     * limit.tryAdd(1); // true
     */
    static create(): PieceLimit {
        return new PieceLimit();
    }

    /** Counts a piece of some bytes; returns false if it is one too many. */
    tryAdd(bytes: number): boolean {
        this.pieces += 1;
        this.bytes += bytes;
        return this.pieces <= FREE_PIECES + this.bytes / MIN_MEAN_PIECE_BYTES;
    }
}
