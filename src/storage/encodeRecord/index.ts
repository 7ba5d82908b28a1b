import { crc32 } from "node:zlib";

const HEADER_BYTES = 8;

/**
 * Encodes a log record: the length and the CRC-32 of the payload, 4 bytes each and big-endian, then the payload.
 *
 * @param payload - Content of the record.
 * @returns The encoded record.
 * @example
 * encodeRecord(Buffer.from("a")).length; // 9
 */
export function encodeRecord(payload: Buffer): Buffer {
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeUInt32BE(payload.length, 0);
    header.writeUInt32BE(crc32(payload), 4);
    return Buffer.concat([header, payload]);
}
