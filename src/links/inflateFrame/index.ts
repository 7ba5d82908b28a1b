import { inflateRawSync } from "node:zlib";
import { DEFLATED_FRAME } from "../deflatedFrame.js";

/**
 * Reads a frame that may be compressed.
 *
 * @param data - What was received.
 * @param maxFrameBytes - Maximum size of the frame, in bytes.
 * @returns The frame in MessagePack.
 * @throws Error if it cannot be read or exceeds the size.
 * @example
 * inflateFrame(deflateFrame(frame), frame.length);
 */
export function inflateFrame(data: Buffer, maxFrameBytes: number): Buffer {
    return data[0] === DEFLATED_FRAME ? inflateRawSync(data.subarray(1), { maxOutputLength: maxFrameBytes }) : data;
}
