import { EndlessStream } from "../EndlessStream.js";

const HUGE_BYTES = "1000000000000";

/**
 * Creates the endless or broken requests that a faulty caller may send to an HTTP port.
 *
 * @param call - Method and path of a call that the port serves, such as `PATCH /config`.
 * @param fields - Header lines that the port expects, each with its line end.
 * @returns The streams.
 * @example
 * createRequestStreams("PATCH /config", "Host: a\r\n").length; // 12
 */
export function createRequestStreams(call: string, fields: string): readonly EndlessStream[] {
    const path = call.split(" ")[1] ?? "/";
    const chunked = `POST ${path} HTTP/1.1\r\n${fields}Transfer-Encoding: chunked\r\n\r\n`;
    const sent = `${call} HTTP/1.1\r\n${fields}`;
    const whole = `GET ${path} HTTP/1.1\r\n${fields}\r\n`;
    const forms: readonly (readonly [string, string, string])[] = [
        ["chunks of one byte", chunked, "1\r\nz\r\n"],
        ["chunks of one byte to the call itself", `${sent}Transfer-Encoding: chunked\r\n\r\n`, "1\r\nz\r\n"],
        ["a chunk line", `${chunked}1;`, "x"],
        ["trailers", `${chunked}1\r\nz\r\n0\r\n`, "t: v\r\n"],
        ["header lines", sent, "a: b\r\n"],
        ["one header line", `${sent}a: `, "b"],
        ["empty lines", "", "\r\n"],
        ["bytes that are no HTTP", "", "\u0000\u0001?"],
        ["a body of a huge length", `${sent}Content-Length: ${HUGE_BYTES}\r\n\r\n`, "z"],
        ["pipelined requests", "", whole],
        ["half a head", sent.slice(0, -1), ""],
        ["nothing", "", ""],
    ];
    return forms.map(([name, prefix, piece]) => ({ name, prefix: Buffer.from(prefix, "latin1"), piece: Buffer.from(piece, "latin1") }));
}
