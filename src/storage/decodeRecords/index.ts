import { crc32 } from "node:zlib";
import { DecodedLog } from "../DecodedLog.js";

const HEADER_BYTES = 8;

/**
 * Decodes the records of a log file. A broken record at the very end is a torn write; a broken record that is
 * followed by a whole one is corruption.
 *
 * @param data - Content of the file.
 * @returns The whole records up to the first broken one, and what was found there.
 * @example
 * decodeRecords(encodeRecord(Buffer.from("a"))).payloads.length; // 1
 */
export function decodeRecords(data: Buffer): DecodedLog {
    const payloads: Buffer[] = [];
    let offset = 0;
    for (let payload = recordAt(data, offset); payload !== undefined; payload = recordAt(data, offset)) {
        payloads.push(payload);
        offset += HEADER_BYTES + payload.length;
    }
    const isCorrupt = offset < data.length && hasRecordBehind(data, offset + 1);
    return { payloads, wholeBytes: offset, corruptAt: isCorrupt ? offset : undefined };
}

function recordAt(data: Buffer, offset: number): Buffer | undefined {
    if (offset + HEADER_BYTES > data.length) {
        return undefined;
    }
    const length = data.readUInt32BE(offset);
    const end = offset + HEADER_BYTES + length;
    if (length === 0 || end > data.length) {
        return undefined;
    }
    const payload = data.subarray(offset + HEADER_BYTES, end);
    return crc32(payload) === data.readUInt32BE(offset + 4) ? payload : undefined;
}

function hasRecordBehind(data: Buffer, from: number): boolean {
    for (let offset = from; offset + HEADER_BYTES < data.length; offset += 1) {
        if (recordAt(data, offset) !== undefined) {
            return true;
        }
    }
    return false;
}
