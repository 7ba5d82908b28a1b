/** Receiver of a body that comes in pieces. */
export interface BodySink {
    /** Takes the next piece; its bytes are held until they are granted again. */
    handleChunk(chunk: Buffer): void;
    /**
     * Ends the body. No further call follows.
     *
     * @param problem - Why the body is not whole, or undefined if it is.
     */
    handleEnd(problem: string | undefined): void;
}
