/** What a faulty peer sends: a beginning, and a piece that it repeats without end. */
export interface EndlessStream {
    readonly name: string;
    readonly prefix: Buffer;
    /** Piece that is repeated; empty if nothing follows the beginning. */
    readonly piece: Buffer;
}
