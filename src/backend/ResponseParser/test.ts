import test from "ava";
import { measureHeldBytes } from "../../../test/fixtures/measureHeldBytes.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { ParsedResponse } from "../ParsedResponse.js";
import { ResponseParser } from "./index.js";

const LIMITS = { maxBodyBytes: 4_096, maxHeadBytes: 4_096, maxFields: 64, maxSmallChunks: 64, minMeanChunkBytes: 16 };
const STATUS_LINE = "HTTP/1.1 200 OK";

/** Parses bytes as the response to a request, in pieces of a given size. */
function parse(text: string, method = "GET", pieceBytes = text.length): ParsedResponse[] {
    const responses: ParsedResponse[] = [];
    const parser = ResponseParser.create((response) => responses.push(response), LIMITS, ByteBudget.create(65_536));
    parser.expectResponse(method);
    const data = Buffer.from(text, "latin1");
    for (let offset = 0; offset < data.length; offset += pieceBytes) {
        parser.parse(data.subarray(offset, offset + pieceBytes));
    }
    return responses;
}

/** Encodes a response of status 200. */
function encode(fields: readonly string[], body: string, statusLine = STATUS_LINE): string {
    return `${[statusLine, ...fields].join("\r\n")}\r\n\r\n${body}`;
}

const BODY = "0123456789abcdef";
const CHUNKED_BODY = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;

// Guards against lenient framing: such a response was taken for complete, with an empty or a partial body.
const MALFORMED_FRAMINGS: Record<string, string> = {
    "a length with a letter": encode(["Content-Length: 1x"], BODY),
    "a signed length": encode(["Content-Length: +16"], BODY),
    "a negative length": encode(["Content-Length: -16"], BODY),
    "an empty length": encode(["Content-Length:"], BODY),
    "a fractional length": encode(["Content-Length: 16.0"], BODY),
    "a length in scientific notation": encode(["Content-Length: 1e1"], BODY),
    "a hexadecimal length": encode(["Content-Length: 0x10"], BODY),
    "a list of lengths": encode(["Content-Length: 16, 16"], BODY),
    "a length beyond exact integers": encode(["Content-Length: 99999999999999999999"], BODY),
    "two differing lengths": encode(["Content-Length: 10", "Content-Length: 16"], BODY),
    "two unreadable lengths": encode(["Content-Length: x", "Content-Length: x"], BODY),
    "an unknown transfer coding": encode(["Transfer-Encoding: chunkee"], CHUNKED_BODY),
    "an empty transfer coding": encode(["Transfer-Encoding:"], CHUNKED_BODY),
    "a further transfer coding": encode(["Transfer-Encoding: gzip, chunked"], CHUNKED_BODY),
    "two transfer codings": encode(["Transfer-Encoding: chunked", "Transfer-Encoding: identity"], CHUNKED_BODY),
    "a length and a transfer coding": encode(["Content-Length: 16", "Transfer-Encoding: chunked"], CHUNKED_BODY),
    "a transfer coding in HTTP/1.0": encode(["Transfer-Encoding: chunked"], CHUNKED_BODY, "HTTP/1.0 200 OK"),
    "a line without a colon": encode(["Content-Length 16"], BODY),
    "a line without a name": encode([": 16", "Content-Length: 16"], BODY),
    "a continuation of no line": encode([" 16", "Content-Length: 16"], BODY),
    "another major version": encode(["Content-Length: 16"], BODY, "HTTP/2.0 200 OK"),
    "a status below 100": encode(["Content-Length: 16"], BODY, "HTTP/1.1 020 OK"),
    "a status above 599": encode(["Content-Length: 16"], BODY, "HTTP/1.1 600 OK"),
    "a switch of protocols": encode(["Upgrade: other", "Connection: upgrade"], "", "HTTP/1.1 101 Switching Protocols"),
};

Object.entries(MALFORMED_FRAMINGS).forEach(([description, text]) => {
    test(`a response with ${description} is rejected instead of being framed by a guess`, (t) => {
        t.throws(() => parse(text));
        t.throws(() => parse(text, "GET", 1));
    });
});

// Guards against an answer that is never passed on, because Node.js refuses to write one of its header fields.
const UNFORWARDABLE_FIELDS = ["X-Node: a\x01b", "X-Node: a\x00b", "X-Node: a\x7fb", "X(Node): a", "X\x01: a", "X-N\xe9: a"];

UNFORWARDABLE_FIELDS.forEach((field) => {
    test(`a response with the header field ${JSON.stringify(field)}, which cannot be forwarded, is rejected`, (t) => {
        t.throws(() => parse(encode([field, "Content-Length: 16"], BODY)), { message: /invalid (name|value) of the header field/ });
    });
});

test("a header field in UTF-8 keeps its bytes", (t) => {
    const author = Buffer.from("MU\u00d1OZ", "utf8").toString("latin1");
    t.deepEqual(parse(encode([`X-Author: ${author}`, "Content-Length: 16"], BODY))[0]?.headers[0], ["X-Author", author]);
});

const WELL_FRAMED: Record<string, string> = {
    "a length": encode(["Content-Length: 16"], BODY),
    "a length with leading zeros": encode(["Content-Length: 0016"], BODY),
    "the same length twice": encode(["Content-Length: 16", "Content-Length: 16"], BODY),
    "a length after whitespace before the colon": encode(["Content-Length : 16"], BODY),
    "chunks": encode(["Transfer-Encoding: Chunked"], CHUNKED_BODY),
};

Object.entries(WELL_FRAMED).forEach(([description, text]) => {
    test(`a response framed by ${description} is complete`, (t) => {
        t.deepEqual(parse(text).map(({ body }) => body.toString()), [BODY]);
        t.deepEqual(parse(text, "GET", 1).map(({ body }) => body.toString()), [BODY]);
    });
});

// Guards against a wait for a body that never comes, until the deadline of the request.
test("a response that has no body by its status or its method is complete after its head, whatever length it declares", (t) => {
    const notModified = encode(["Content-Length: 16"], "", "HTTP/1.1 304 Not Modified");
    const noContent = encode(["Transfer-Encoding: chunked"], "", "HTTP/1.1 204 No Content");
    t.deepEqual(parse(notModified).map(({ status, body }) => [status, body.length]), [[304, 0]]);
    t.deepEqual(parse(noContent).map(({ status, body }) => [status, body.length]), [[204, 0]]);
    t.deepEqual(parse(encode(["Content-Length: 16"], ""), "HEAD").map(({ status, body }) => [status, body.length]), [[200, 0]]);
});

test("an interim response is skipped, even if it declares a length", (t) => {
    const interim = encode(["Content-Length: 16"], "", "HTTP/1.1 103 Early Hints");
    t.deepEqual(parse(interim + encode(["Content-Length: 16"], BODY)).map(({ status, body }) => [status, body.toString()]), [[200, BODY]]);
});

const READABLE_STATUSES = ["200", "204", "304", "404", "599"];

READABLE_STATUSES.forEach((status) => {
    [`HTTP/1.1 ${status} Reason`, `HTTP/1.1 ${status} `, `HTTP/1.1 ${status}`, `HTTP/1.0 ${status} Reason`].forEach((line) => {
        test(`a response with the status line ${JSON.stringify(line)} is read`, (t) => {
            const text = encode(["Content-Length: 0", "Connection: keep-alive"], "", line);
            t.deepEqual(parse(text).map((response) => String(response.status)), [status]);
            t.deepEqual(parse(text, "GET", 1).map((response) => String(response.status)), [status]);
        });
    });
});

const UNREADABLE_STATUSES
    = "000|001|099|0|600|999|-20|2x0||2 0|200200|1000|100000|20|+200|200.5| 200|\t200|2000|0200|200,".split("|");
/** How the rest of a line may follow its status. */
const REASONS = ["", " ", " OK", " 200 OK"];

// Guards against a success that the endpoint did not state (200200), and against a wait until the deadline (1000, 001).
UNREADABLE_STATUSES.forEach((status) => {
    REASONS.filter((reason) => status !== "" || !reason.includes("200")).forEach((reason) => {
        const text = encode(["Content-Length: 16"], BODY, `HTTP/1.1 ${status}${reason}`);
        [text.length, 1, 2, 3, 5, 9, 11].forEach((pieceBytes) => {
            test(`a response with the status ${JSON.stringify(status + reason)} is rejected, in reads of ${pieceBytes} bytes`, (t) => {
                t.throws(() => parse(text, "GET", pieceBytes));
            });
        });
    });
});

const UNREADABLE_LINES = ["HTTP/1.1200 OK", "HTTP/1.1  200 OK", "HTTP/11 200 OK", "HTTP/1. 200 OK", "http/1.1 200 OK", "ICY 200 OK", "200 OK", "", " "];

UNREADABLE_LINES.forEach((line) => {
    test(`a response with the first line ${JSON.stringify(line)} is rejected`, (t) => {
        t.throws(() => parse(encode(["Content-Length: 16"], BODY, line)));
        t.throws(() => parse(encode(["Content-Length: 16"], BODY, line), "GET", 1));
    });
});

// Guards against a caller that waits for the end of a line that is wrong already.
["HTTP/1.1 1000", "HTTP/1.1 200200", "HTTP/1.1 0", "HTTP/1.1 2x", "HTTP/1.1 6", "SSH-2.0-server"].forEach((text) => {
    test(`a status line that begins with ${JSON.stringify(text)} is rejected before its end`, (t) => {
        t.throws(() => parse(text));
        t.throws(() => parse(text, "GET", 1));
    });
});

test("a status line that is not at its end is not rejected", (t) => {
    const line = "HTTP/1.1 200 OK\r";
    Array.from(line).forEach((_character, index) => t.deepEqual(parse(line.slice(0, index + 1)), []));
});

test("an unreadable status line after an interim response is rejected", (t) => {
    t.throws(() => parse(encode([], "", "HTTP/1.1 103 Early Hints") + encode(["Content-Length: 16"], BODY, "HTTP/1.1 200200 OK")));
});

const MEGABYTE = 1_024 * 1_024;
/** Limits that hold a response by its bytes alone. */
const WIDE_LIMITS = { maxBodyBytes: MEGABYTE, maxHeadBytes: MEGABYTE, maxFields: 1_000, maxSmallChunks: MEGABYTE, minMeanChunkBytes: 16 };

/** Returns a parser that has read the head of a response without a length, or with chunks, and its budget. */
function startResponse(fields: readonly string[]): { readonly parser: ResponseParser; readonly budget: ByteBudget } {
    const budget = ByteBudget.create(MEGABYTE);
    const parser = ResponseParser.create(() => undefined, WIDE_LIMITS, budget);
    parser.expectResponse("GET");
    parser.parse(Buffer.from(encode(fields, "")));
    return { parser, budget };
}

test("a body in chunks of one byte takes memory by its bytes, not by its chunks", (t) => {
    const count = 200_000;
    const heldBytes = measureHeldBytes(() => {
        const { parser } = startResponse(["Transfer-Encoding: chunked"]);
        const block = "1\r\nz\r\n".repeat(count / 100);
        for (let number = 0; number < 100; number += 1) {
            parser.parse(Buffer.from(block));
        }
        return parser;
    });
    t.log(`${heldBytes / count} bytes for each chunk`);
    t.true(heldBytes < 4 * count, `${heldBytes} bytes for a body of ${count} bytes`);
});

test("a body that arrives byte by byte does not hold the buffers that it was read into", (t) => {
    const count = 1_000;
    const heldBytes = measureHeldBytes(() => {
        const { parser } = startResponse([]);
        for (let number = 0; number < count; number += 1) {
            parser.parse(Buffer.alloc(16_384).subarray(0, 1));
        }
        return parser;
    });
    t.log(`${heldBytes / count} bytes for each piece`);
    t.true(heldBytes < MEGABYTE, `${heldBytes} bytes for a body of ${count} bytes`);
});

test("a line that arrives byte by byte takes memory by its bytes, not by its pieces", (t) => {
    const count = 60_000;
    const heldBytes = measureHeldBytes(() => {
        const { parser } = startResponse(["Transfer-Encoding: chunked"]);
        parser.parse(Buffer.from("1;"));
        const piece = Buffer.from("x");
        for (let number = 0; number < count; number += 1) {
            parser.parse(piece);
        }
        return parser;
    });
    t.log(`${heldBytes / count} bytes for each piece`);
    t.true(heldBytes < 8 * count, `${heldBytes} bytes for a line of ${count} bytes`);
});

// Guards against bytes of head that hide behind a body: each byte of it allowed eight more of framing.
test("a chunk line without end behind a large body is refused at the limit on the head", (t) => {
    const head = encode(["Transfer-Encoding: chunked"], `${(2_048).toString(16)}\r\n${"x".repeat(2_048)}\r\n`);
    t.throws(() => parse(`${head}1;${"x".repeat(4_096)}`, "GET", 512), { message: "more than 4096 bytes of head" });
});

test("header fields, continued lines and trailers without end are refused by their number", (t) => {
    const fields = Array.from({ length: 80 }, () => "a:");
    const trailers = `0\r\n${fields.join("\r\n")}`;
    const continued = ["a: b", ...Array.from({ length: 80 }, () => " b")];
    t.throws(() => parse(encode(fields, "")), { message: "more than 64 header fields" });
    t.throws(() => parse(encode(continued, "")), { message: "more than 64 header fields" });
    t.throws(() => parse(encode(["Transfer-Encoding: chunked"], trailers)), { message: "more than 64 header fields" });
});

test("header fields and bytes of an incomplete response count against what all connections may hold, until it is discarded", (t) => {
    const { parser, budget } = startResponse(["a: b", "Transfer-Encoding: chunked"]);
    parser.parse(Buffer.from("3\r\nabc\r\n"));
    t.true(budget.heldBytes > 128 * 2, `${budget.heldBytes} bytes`);
    parser.discard();
    t.is(budget.heldBytes, 0);
});

// Guards against events that keep what an endpoint has sent, six characters for each of its control characters.
test("the problem of a response does not repeat a header field of any length", (t) => {
    const long = "\x01".repeat(3_000);
    const fields = [`${long}: a`, `a: ${long}`, `Content-Length: ${long}`, `Transfer-Encoding: ${long}`];
    const lengths = fields.map((field) => t.throws(() => parse(encode([field], ""))).message.length);
    t.true(lengths.every((length) => length < 600), lengths.join(", "));
    const differing = Array.from({ length: 50 }, (_value, index) => `Content-Length: ${"0".repeat(60)}${index}`);
    t.true(t.throws(() => parse(encode(differing, ""))).message.length < 200);
});
