import { Packr } from "msgpackr";
import { EndlessStream } from "../EndlessStream.js";

const MASK = Buffer.alloc(4);
/** Bit of the first byte of a frame that says that its message ends (RFC 6455, section 5.2). */
const FINAL = 0x80;
const BINARY = 0x2;
const CONTINUATION = 0x0;
const PING = 0x9;
const MASKED = 0x80;
/** Length byte that says that two bytes of length follow. */
const SHORT_LENGTH = 126;
/** Length byte that says that eight bytes of length follow. */
const LONG_LENGTH = 127;
/** Length of the frame that never ends; below the limit of a tunnel. */
const LONG_FRAME_BYTES = 100 * 1_024 * 1_024;

/**
 * Creates the endless WebSocket frames that a faulty process may send on an open connection.
 *
 * @param groups - Groups of messages that the other end knows; each is sent again and again.
 * @returns The streams.
 * @example
 * createFrameStreams([[{ kind: "p" }]])[0]?.name; // "fragments of one byte"
 */
export function createFrameStreams(groups: readonly (readonly object[])[]): readonly EndlessStream[] {
    const packr = new Packr({ useRecords: false });
    const none = Buffer.alloc(0);
    const byte = Buffer.from("z");
    const length = Buffer.alloc(8);
    length.writeBigUInt64BE(BigInt(LONG_FRAME_BYTES));
    return [
        { name: "fragments of one byte", prefix: frame(BINARY, byte), piece: frame(CONTINUATION, byte) },
        { name: "fragments without a byte", prefix: frame(BINARY, byte), piece: frame(CONTINUATION, none) },
        { name: "pings", prefix: none, piece: frame(FINAL | PING, byte) },
        { name: "messages of one byte", prefix: none, piece: frame(FINAL | BINARY, byte) },
        { name: "a long frame", prefix: Buffer.concat([Buffer.from([FINAL | BINARY, MASKED | LONG_LENGTH]), length, MASK]), piece: byte },
        { name: "bytes that are no frames", prefix: none, piece: Buffer.from("\r\n") },
        { name: "no frames", prefix: none, piece: none },
        ...groups.map((messages) => {
            const piece = Buffer.concat(messages.map((message) => frame(FINAL | BINARY, packr.pack(message))));
            return { name: `${messages.length} messages ${JSON.stringify(messages[0])}`, prefix: none, piece };
        }),
    ];
}

function frame(first: number, payload: Buffer): Buffer {
    const { length } = payload;
    const lengthBytes = length < SHORT_LENGTH ? [MASKED | length] : [MASKED | SHORT_LENGTH, length >> 8, length & 0xff];
    return Buffer.concat([Buffer.from([first, ...lengthBytes]), MASK, payload]);
}
