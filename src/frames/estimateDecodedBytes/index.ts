/** Memory of a value in its container, in bytes: a slot, and a number on the heap. */
const VALUE_BYTES = 16;
/** Memory of a string besides its characters, in bytes. */
const STRING_BYTES = 32;
/** Memory of an array without elements, in bytes. */
const ARRAY_BYTES = 48;
/** Memory of a map without entries, in bytes. */
const MAP_BYTES = 240;
/** Memory of an entry of a map besides its key and its value, in bytes. */
const ENTRY_BYTES = 48;
/** Memory of a record without fields, in bytes. */
const RECORD_BYTES = 64;
/** Memory of the definition of a record, in bytes: its keys and the functions that read it. */
const DEFINITION_BYTES = 1_024;
/** Memory of a view of binary data, in bytes; the data itself stays in the frame. */
const VIEW_BYTES = 160;
/** Extension type of msgpackr for the definition of a record. */
const RECORD_TYPE = 0x72;
/** Extension type of msgpackr for `undefined`. */
const UNDEFINED_TYPE = 0;
const RECORD_ID_MASK = 0x3F;
/** Lengths of what follows the tokens 0xca to 0xd3 (floats and integers), in bytes. */
const NUMBER_LENGTHS = [4, 8, 1, 2, 4, 8, 1, 2, 4, 8];

/** Walks over a frame and adds up what its values take, without creating them. */
class Scan {
    private readonly fieldCounts = new Map<number, number>();
    private offset = 0;
    private pendingCount = 1;
    private sizeBytes = 0;

    constructor(private readonly data: Buffer) {}

    /** Returns the estimate, or infinity if the bytes are no frame. */
    run(): number {
        while (this.pendingCount > 0) {
            if (this.offset >= this.data.length) {
                return Number.POSITIVE_INFINITY;
            }
            this.pendingCount -= 1;
            this.sizeBytes += VALUE_BYTES;
            if (!this.readValue(this.readNumber(1))) {
                return Number.POSITIVE_INFINITY;
            }
        }
        return this.offset === this.data.length ? this.sizeBytes : Number.POSITIVE_INFINITY;
    }

    /** Reads a value up to its elements, which are pending then. Returns false if this fleet sends no such value. */
    private readValue(token: number): boolean {
        if (token < 0x40 || token >= 0xE0) {
            return true;
        }
        if (token < 0x80) {
            const fieldCount = this.fieldCounts.get(token & RECORD_ID_MASK);
            return fieldCount === undefined || this.addContainer(RECORD_BYTES, fieldCount, 0);
        }
        if (token < 0x90) {
            return this.addContainer(MAP_BYTES, 2 * (token - 0x80), ENTRY_BYTES / 2);
        }
        if (token < 0xA0) {
            return this.addContainer(ARRAY_BYTES, token - 0x90, 0);
        }
        if (token < 0xC0) {
            return this.skip(STRING_BYTES, token - 0xA0, true);
        }
        return this.readLongValue(token);
    }

    private readLongValue(token: number): boolean {
        switch (token) {
            case 0xC0:
            case 0xC2:
            case 0xC3:
                return true;
            case 0xC4:
            case 0xC5:
            case 0xC6:
                return this.skip(VIEW_BYTES, this.readNumber(2 ** (token - 0xC4)), false);
            case 0xD4:
                return this.readExtension();
            case 0xD9:
            case 0xDA:
            case 0xDB:
                return this.skip(STRING_BYTES, this.readNumber(2 ** (token - 0xD9)), true);
            case 0xDC:
            case 0xDD:
                return this.addContainer(ARRAY_BYTES, this.readNumber(2 ** (token - 0xDB)), 0);
            case 0xDE:
            case 0xDF:
                return this.addContainer(MAP_BYTES, 2 * this.readNumber(2 ** (token - 0xDD)), ENTRY_BYTES / 2);
            default:
                return token >= 0xCA && token <= 0xD3 && this.skip(0, NUMBER_LENGTHS[token - 0xCA] ?? 0, false);
        }
    }

    private readExtension(): boolean {
        const type = this.readNumber(1);
        const id = this.readNumber(1) & RECORD_ID_MASK;
        return type === UNDEFINED_TYPE || (type === RECORD_TYPE && this.readDefinition(id));
    }

    /** Reads the keys of a record; the values of its first instance are pending then. */
    private readDefinition(id: number): boolean {
        const token = this.readNumber(1);
        const isShort = token >= 0x90 && token < 0xA0;
        if (!isShort && token !== 0xDC) {
            return false;
        }
        const fieldCount = isShort ? token - 0x90 : this.readNumber(2);
        for (let field = 0; field < fieldCount; field += 1) {
            const keyToken = this.readNumber(1);
            const isKey = (keyToken >= 0xA0 && keyToken < 0xC0) || (keyToken >= 0xD9 && keyToken <= 0xDB);
            if (!isKey || !this.readValue(keyToken)) {
                return false;
            }
        }
        this.fieldCounts.set(id, fieldCount);
        return this.addContainer(DEFINITION_BYTES + RECORD_BYTES, fieldCount, 0);
    }

    private addContainer(containerBytes: number, elementCount: number, elementBytes: number): boolean {
        this.pendingCount += elementCount;
        this.sizeBytes += containerBytes + elementCount * elementBytes;
        return this.pendingCount <= this.data.length - this.offset;
    }

    private skip(valueBytes: number, lengthBytes: number, isString: boolean): boolean {
        this.offset += lengthBytes;
        this.sizeBytes += valueBytes + (isString ? lengthBytes : 0);
        return this.offset <= this.data.length;
    }

    private readNumber(lengthBytes: number): number {
        const end = this.offset + lengthBytes;
        const value = end <= this.data.length ? this.data.readUIntBE(this.offset, lengthBytes) : 0;
        this.offset = end;
        return value;
    }
}

/**
 * Estimates how much memory a frame takes once it is decoded, without decoding it: one byte can become an object of hundreds.
 *
 * @param data - Frame in MessagePack, with the records of msgpackr.
 * @returns Memory in bytes, without binary parts, which stay in the frame; infinity if the bytes are no frame of this fleet.
 * @example
 * estimateDecodedBytes(Buffer.from([0x91, 0x80])); // 320: an array with an empty map
 */
export function estimateDecodedBytes(data: Buffer): number {
    return new Scan(data).run();
}
