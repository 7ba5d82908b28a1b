/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { createServer } from "node:net";
import { once } from "node:events";
import { callJson } from "./fleet.mjs";

const HEARTBEAT_MS = 1_500;
const HEAD_END = "\r\n\r\n";
const WORK = /\/w(\d+)\//;
const SIZE = /\/s(\d+)\//;

/** Body of the answer to a request; clients know it, so that they can check that it is whole and their own. */
export function answerBody(attemptId, lengthBytes) {
    return Buffer.alloc(lengthBytes, `${attemptId}|`);
}

/**
 * A server of an application as PROTOCOL.md describes it. The path of a request says how long it works (`/w100/`, in ms) and how long its
 * answer is (`/s5000/`, in bytes).
 */
export class Endpoint {
    sequence = 0;
    runs = [];
    sockets = new Set();
    state = "ready";

    constructor(fleet, name, options) {
        this.fleet = fleet;
        this.name = name;
        this.options = options;
        this.id = options.id ?? `i-${name}`;
        this.born = options.born ?? Date.now();
    }

    static async create(fleet, name, options = {}) {
        const endpoint = new Endpoint(fleet, name, options);
        endpoint.server = createServer({ noDelay: true }, (socket) => endpoint.handleConnection(socket));
        const [host, port] = fleet.addressOf(name, "backend").split(":");
        endpoint.server.listen(Number(port), host);
        await once(endpoint.server, "listening");
        if (options.reports !== false) {
            endpoint.timer = setInterval(() => void endpoint.report(), HEARTBEAT_MS);
            void endpoint.report();
        }
        return endpoint;
    }

    /** Sends a check-in; resolves to its status, or undefined without an answer. */
    async report() {
        this.sequence += 1;
        const answer = await callJson(this.fleet.addressOf(this.name, "control"), "PUT", `/instances/${this.id}`, this.createReport(), 1_000);
        return answer?.status;
    }

    createReport() {
        return {
            address: this.fleet.addressOf(this.name, "backend"),
            born: this.born,
            info: { service: this.fleet.serviceOf(this.name), version: "v1", zone: "zone-a", slots: this.options.slots ?? 5 },
            status: { state: this.state, seq_no: this.sequence, cold_remaining: "0ms" },
        };
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.sockets.forEach((socket) => socket.destroy());
    }

    handleConnection(socket) {
        let data = Buffer.alloc(0);
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", (chunk) => {
            data = Buffer.concat([data, chunk]);
            for (;;) {
                const end = data.indexOf(HEAD_END);
                if (end < 0) {
                    return;
                }
                const head = parseHead(data.subarray(0, end).toString("latin1"));
                const total = end + HEAD_END.length + Number(head.headers["content-length"] ?? 0);
                if (data.length < total) {
                    return;
                }
                const body = data.subarray(end + HEAD_END.length, total);
                data = data.subarray(total);
                this.handleRequest(socket, { ...head, body });
            }
        });
    }

    handleRequest(socket, head) {
        const id = head.headers["attempt-id"] ?? "";
        if (head.headers["expected-instance"] !== undefined && head.headers["expected-instance"] !== this.id) {
            this.fleet.record(`${this.name} rejects ${id}: other instance`);
            socket.write(`HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0${HEAD_END}`);
            return;
        }
        const run = { id, atMs: this.fleet.nowMs(), method: head.method, path: head.path, headers: head.headers, bodyBytes: head.body.length };
        this.runs.push(run);
        this.fleet.record(`${this.name} runs ${id}`);
        if (this.options.handle?.(socket, head, run) === true) {
            return;
        }
        const workMs = Number(WORK.exec(head.path)?.[1] ?? 0);
        const timer = setTimeout(() => {
            socket.off("close", drop);
            run.isFinished = true;
            this.answer(socket, id, Number(SIZE.exec(head.path)?.[1] ?? 100));
        }, workMs);
        const drop = () => clearTimeout(timer);
        socket.once("close", drop);
    }

    answer(socket, id, lengthBytes) {
        const body = answerBody(id, lengthBytes);
        const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nResponse-Signature: sig-${id}\r\nContent-Length: ${body.length}${HEAD_END}`;
        socket.write(Buffer.concat([Buffer.from(head), body]));
    }
}

function parseHead(text) {
    const [requestLine, ...lines] = text.split("\r\n");
    const [method, path] = requestLine.split(" ");
    const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]));
    return { method, path, headers };
}
