/** Multipliers of the final mix of MurmurHash3. */
const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

/**
 * Mixes the bits of a checksum, so that similar texts get unrelated numbers. Checksums alone are linear: those of texts that
 * differ in the same way differ by the same bits.
 *
 * @param checksum - Unsigned 32-bit integer.
 * @returns Unsigned 32-bit integer.
 * @example
 * mixBits(crc32("vm-1"));
 */
export function mixBits(checksum: number): number {
    const first = Math.imul(checksum ^ (checksum >>> 16), MIX_FIRST);
    const second = Math.imul(first ^ (first >>> 13), MIX_SECOND);
    return (second ^ (second >>> 16)) >>> 0;
}
