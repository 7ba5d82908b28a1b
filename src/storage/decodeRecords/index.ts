import { crc32 } from "node:zlib";
import { DecodedLog } from "../DecodedLog.js";

const HEADER_BYTES = 8;

/**
 * Decodes the records of a log file. An invalid record at the end is a partial write; an invalid record that is followed by
 * an intact one is corruption.
 *
 * @param data - Content of the file.
 * @returns The records before the first invalid one, and whether that one is corrupt.
 * @example
 * decodeRecords(encodeRecord(Buffer.from("a"))).payloads.length; // 1
 */
export function decodeRecords(data: Buffer): DecodedLog {
    const payloads: Buffer[] = [];
    let offset = 0;
    for (let payload = readRecord(data, offset); payload !== undefined; payload = readRecord(data, offset)) {
        payloads.push(payload);
        offset += HEADER_BYTES + payload.length;
    }
    const isCorrupt = offset < data.length && hasRecordAfter(data, offset + 1);
    return { payloads, validBytes: offset, corruptOffset: isCorrupt ? offset : undefined };
}

function readRecord(data: Buffer, offset: number): Buffer | undefined {
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

function hasRecordAfter(data: Buffer, from: number): boolean {
    for (let offset = from; offset + HEADER_BYTES < data.length; offset += 1) {
        if (readRecord(data, offset) !== undefined) {
            return true;
        }
    }
    return false;
}
