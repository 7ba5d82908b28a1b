import { constants, deflateRawSync } from "node:zlib";
import { DEFLATED_FRAME } from "../deflatedFrame.js";

/** Minimum size of a frame that is compressed, in bytes; smaller ones, which are most, gain nothing on a link. */
const MIN_DEFLATED_BYTES = 4_096;

/**
 * Compresses a large frame. The names of its fields and services recur in each item of a configuration, so that it shrinks to a quarter.
 *
 * @param frame - Frame in MessagePack.
 * @returns The compressed frame, to be read with `inflateFrame`, or the frame itself if it is small.
 * @example
 * deflateFrame(packr.pack(envelope));
 */
export function deflateFrame(frame: Buffer): Buffer {
    if (frame.length < MIN_DEFLATED_BYTES) {
        return frame;
    }
    return Buffer.concat([Buffer.of(DEFLATED_FRAME), deflateRawSync(frame, { level: constants.Z_BEST_SPEED })]);
}
