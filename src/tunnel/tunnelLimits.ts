import { SocketLimits } from "../frames/SocketLimits.js";

const MEBIBYTE = 1_024 * 1_024;

/** Limits of all tunnels of a process. A frame carries the whole body of a request or of a response. */
export const TUNNEL_LIMITS: SocketLimits = {
    maxFrameBytes: 49 * MEBIBYTE,
    maxReceivingBytes: 68 * MEBIBYTE,
    maxReceivingTotalBytes: 68 * MEBIBYTE,
    maxSendingBytes: 48 * MEBIBYTE,
    maxSendingTotalBytes: 64 * MEBIBYTE,
    dropsUnread: false,
    maxDecodedBytes: 8 * MEBIBYTE,
};
