import { SocketLimits } from "../frames/SocketLimits.js";

const MEBIBYTE = 1_024 * 1_024;

/** Limits of all links of a process. The largest frame carries all items of the configuration, or the largest change of them. */
export const LINK_LIMITS: SocketLimits = {
    maxFrameBytes: 32 * MEBIBYTE,
    maxReceivingBytes: 40 * MEBIBYTE,
    maxReceivingTotalBytes: 64 * MEBIBYTE,
    maxSendingBytes: 48 * MEBIBYTE,
    maxSendingTotalBytes: 96 * MEBIBYTE,
    dropsUnread: true,
    maxDecodedBytes: 48 * MEBIBYTE,
};
