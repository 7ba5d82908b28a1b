/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { randomBytes } from "node:crypto";
import { connect } from "node:net";

const HEAD_END = "\r\n\r\n";

/**
 * Sends one client attempt on a new connection and reads the answer.
 *
 * @param address - Outbound address of the machine.
 * @param options - `method`, `host`, `path`, `body`, `deadlineMs`, `patienceMs` (time to wait for the answer), and `onHead`,
 *   which is called with the socket once the head of the answer has been read.
 * @returns The attempt's id, status, headers, body and end (`complete`, `closed`, `reset`, `timeout`), and its duration.
 */
export function sendAttempt(address, { method = "GET", host, path, body, deadlineMs, patienceMs = deadlineMs + 1_000, onHead }) {
    const [ip, port] = address.split(":");
    const attempt = randomBytes(8).toString("hex");
    const startedAtMs = Date.now();
    return new Promise((resolve) => {
        const socket = connect({ host: ip, port: Number(port), noDelay: true });
        const chunks = [];
        let head;
        let receivedBytes = 0;
        const finish = (end) => {
            clearTimeout(timer);
            socket.destroy();
            const all = Buffer.concat(chunks);
            const tookMs = Date.now() - startedAtMs;
            const body = head === undefined ? all : all.subarray(head.bytes);
            resolve({ attempt, status: head?.status, headers: head?.headers ?? {}, body, end, tookMs });
        };
        const timer = setTimeout(() => finish("timeout"), patienceMs);
        socket.on("connect", () => {
            const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Attempt-Id: ${attempt}`, `Deadline-Ms: ${deadlineMs}`];
            if (body !== undefined) {
                lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
            }
            socket.write(`${lines.join("\r\n")}${HEAD_END}${body ?? ""}`);
        });
        socket.on("data", (chunk) => {
            chunks.push(chunk);
            receivedBytes += chunk.length;
            if (head === undefined) {
                head = parseHead(Buffer.concat(chunks));
                if (head !== undefined) {
                    onHead?.(socket);
                }
            }
            if (head !== undefined && receivedBytes >= head.bytes + head.length) {
                finish("complete");
            }
        });
        socket.on("end", () => finish("closed"));
        socket.on("error", () => finish("reset"));
        socket.on("close", () => finish("closed"));
    });
}

function parseHead(data) {
    const end = data.indexOf(HEAD_END);
    if (end < 0) {
        return undefined;
    }
    const [statusLine, ...lines] = data.subarray(0, end).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]));
    return { status: Number(statusLine.split(" ")[1]), headers, bytes: end + HEAD_END.length, length: Number(headers["content-length"] ?? 0) };
}
