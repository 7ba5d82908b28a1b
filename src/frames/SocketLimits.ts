/** Limits of a `SocketBudget`. Sizes include an allowance for each piece, since memory is held by the piece. */
export interface SocketLimits {
    /** Maximum size of a frame. */
    readonly maxFrameBytes: number;
    /** Maximum size of what one peer has sent of a frame that is not whole. */
    readonly maxReceivingBytes: number;
    /** Maximum size of what all peers together have sent of frames that are not whole. */
    readonly maxReceivingTotalBytes: number;
    /** Maximum size of the frames that one peer has not read. */
    readonly maxSendingBytes: number;
    /** Maximum size of the frames that all peers together have not read. */
    readonly maxSendingTotalBytes: number;
    /** True if frames to a peer that does not read are dropped, since they are repeated; false if the peer is closed. */
    readonly dropsUnread: boolean;
    /** Maximum size that a frame may have in memory once it is decoded, without its binary parts. */
    readonly maxDecodedBytes: number;
}
