import { crc32 } from "node:zlib";
import { MemberStamp } from "../MemberStamp.js";

/**
 * Hashes the version of a member's record. The hash of a set of records is the XOR of their hashes.
 *
 * @param stamp - Version of a record.
 * @returns Unsigned 32-bit integer.
 * @example
 * memberHash({ vm: "a", startedAtMs: 1, sequence: 1 });
 */
export function memberHash(stamp: MemberStamp): number {
    return crc32(`${stamp.vm} ${stamp.startedAtMs} ${stamp.sequence}`);
}
