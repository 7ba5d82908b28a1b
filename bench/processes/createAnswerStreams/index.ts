import { EndlessStream } from "../EndlessStream.js";

/**
 * Creates the endless or broken answers that a faulty endpoint may give.
 *
 * @returns The streams.
 * @example
 * createAnswerStreams()[0]?.name; // "chunks of one byte"
 */
export function createAnswerStreams(): readonly EndlessStream[] {
    const head = "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n";
    const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
    const forms: readonly (readonly [string, string, string])[] = [
        ["chunks of one byte", chunked, "1\r\nz\r\n"],
        ["a chunk line", `${chunked}1;`, "x"],
        ["trailers", `${chunked}1\r\nz\r\n0\r\n`, "t: v\r\n"],
        ["header lines", head, "a: b\r\n"],
        ["one header line", `${head}a: `, "b"],
        ["interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"],
        ["interim responses with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"],
        ["empty lines", "", "\r\n"],
        ["bytes that are no HTTP", "", "\u0000\u0001?"],
        ["a body without a length", `${head}\r\n`, "z"],
        ["a body of a huge length", `${head}Content-Length: 1000000000000\r\n\r\n`, "z"],
        ["whole answers", "", `${head}Content-Length: 1\r\n\r\nz`],
        ["half a head", head.slice(0, -1), ""],
        ["half a body", `${head}Content-Length: 100\r\n\r\nz`, ""],
    ];
    return forms.map(([name, prefix, piece]) => ({ name, prefix: Buffer.from(prefix, "latin1"), piece: Buffer.from(piece, "latin1") }));
}
