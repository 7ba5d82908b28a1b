/** Size of the first block, in bytes. */
const MIN_BLOCK_BYTES = 1_024;
/** Maximum size of a block, in bytes. */
const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects the pieces of a body. Pieces are copied into blocks, so that memory grows with the bytes of the body and not with
 * the number of pieces: a kept piece would take a hundred bytes or more of its own, and the whole read that it is a part of.
 */
export class BodyBuffer {
    private blocks: Buffer[] = [];
    /** Bytes used in the last block. */
    private usedBytes = 0;
    private totalBytes = 0;

    private constructor() {}

    /**
     * Creates an empty buffer.
     *
     * @example
     * const body = BodyBuffer.create();
     * body.add(Buffer.from("o"));
     * body.add(Buffer.from("k"));
     * body.take().toString(); // "ok"
     */
    static create(): BodyBuffer {
        return new BodyBuffer();
    }

    /** Number of bytes collected. */
    get lengthBytes(): number {
        return this.totalBytes;
    }

    /** Adds a copy of a piece. */
    add(piece: Buffer): void {
        let addedBytes = 0;
        while (addedBytes < piece.length) {
            const copiedBytes = piece.copy(this.blockWithRoom(), this.usedBytes, addedBytes);
            addedBytes += copiedBytes;
            this.usedBytes += copiedBytes;
        }
        this.totalBytes += piece.length;
    }

    /** Returns the collected bytes and empties the buffer. */
    take(): Buffer {
        const { blocks, totalBytes } = this;
        this.clear();
        const [first] = blocks;
        return first !== undefined && totalBytes <= first.length ? first.subarray(0, totalBytes) : Buffer.concat(blocks, totalBytes);
    }

    /** Drops the collected bytes. */
    clear(): void {
        this.blocks = [];
        this.usedBytes = 0;
        this.totalBytes = 0;
    }

    private blockWithRoom(): Buffer {
        const last = this.blocks.at(-1);
        if (last !== undefined && this.usedBytes < last.length) {
            return last;
        }
        const block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.totalBytes)));
        this.blocks.push(block);
        this.usedBytes = 0;
        return block;
    }
}
