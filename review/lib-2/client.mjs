/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { connect } from "node:net";
import { answerBody } from "./endpoint.mjs";

const HEAD_END = "\r\n\r\n";

/** Encodes a request of a client. */
export function encodeRequest({ id, method = "GET", path, host, deadlineMs, body, headers = [] }) {
    const lines = [
        `${method} ${path} HTTP/1.1`,
        `Host: ${host}`,
        `Attempt-Id: ${id}`,
        `Deadline-Ms: ${deadlineMs}`,
        ...headers,
        ...body === undefined ? [] : [`Content-Length: ${body.length}`],
    ];
    const head = Buffer.from(`${lines.join("\r\n")}${HEAD_END}`);
    return body === undefined ? head : Buffer.concat([head, body]);
}

/**
 * A connection of a client that it keeps open for many requests, one at a time. Each request ends as `answered`, `closed` (the connection ended
 * without an answer) or `silent` (no answer a second after its deadline).
 */
export class KeptConnection {
    data = Buffer.alloc(0);
    isClosed = false;

    constructor(socket) {
        this.socket = socket;
        socket.on("data", (chunk) => {
            this.data = Buffer.concat([this.data, chunk]);
            this.read();
        });
        socket.on("error", () => this.end("closed"));
        socket.on("close", () => this.end("closed"));
    }

    /** Opens a connection; resolves to undefined if that takes more than a second or is refused. */
    static open(address) {
        const [host, port] = address.split(":");
        return new Promise((resolve) => {
            const socket = connect({ host, port: Number(port), noDelay: true });
            const timer = setTimeout(() => socket.destroy(), 1_000);
            socket.once("connect", () => {
                clearTimeout(timer);
                socket.removeAllListeners("error");
                resolve(new KeptConnection(socket));
            });
            socket.once("error", () => resolve(undefined));
            socket.once("close", () => resolve(undefined));
        });
    }

    send(request) {
        return new Promise((resolve) => {
            const timer = setTimeout(() => this.end("silent"), request.deadlineMs + 1_000);
            this.pending = {
                request,
                finish: (result) => {
                    clearTimeout(timer);
                    this.pending = undefined;
                    resolve(result);
                },
            };
            if (this.isClosed) {
                this.end("closed");
                return;
            }
            this.socket.write(encodeRequest(request));
        });
    }

    close() {
        this.socket.destroy();
    }

    end(how) {
        this.isClosed = true;
        this.pending?.finish({ end: how });
        this.socket.destroy();
    }

    read() {
        const end = this.data.indexOf(HEAD_END);
        if (end < 0 || this.pending === undefined) {
            return;
        }
        const [statusLine, ...lines] = this.data.subarray(0, end).toString("latin1").split("\r\n");
        const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]));
        const total = end + HEAD_END.length + Number(headers["content-length"] ?? 0);
        if (this.data.length < total) {
            return;
        }
        const body = this.data.subarray(end + HEAD_END.length, total);
        this.data = this.data.subarray(total);
        const { id } = this.pending.request;
        const isOwn = headers["attempt-id"] === id && (headers["response-signature"] === undefined || body.equals(answerBody(id, body.length)));
        if (headers.connection?.toLowerCase() === "close") {
            this.isClosed = true;
            this.socket.end();
        }
        this.pending.finish({ end: "answered", status: Number(statusLine.split(" ")[1]), headers, isOwn });
    }
}
