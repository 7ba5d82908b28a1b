/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";
import { sendJson } from "./sendJson.mjs";

const HEARTBEAT_MS = 1_500;
const HEAD_END = "\r\n\r\n";

/**
 * Application endpoint of a service, which follows the platform's pages: checks in with the proxy beside it, rejects requests
 * that are meant for another instance, serves one request at a time on a connection, and signs its answers.
 */
export class Endpoint {
    id = `i-${randomBytes(4).toString("hex")}`;
    bornAtMs = Date.now();
    sequence = 0;
    slots = 5;
    state = "ready";
    service;
    #recorder;
    #addresses;
    #server;
    #sockets = new Set();
    #timer;
    #handle;

    constructor(recorder, addresses, service, handle) {
        this.#recorder = recorder;
        this.#addresses = addresses;
        this.service = service;
        this.#handle = handle;
    }

    /**
     * Starts an endpoint.
     *
     * @param recorder - Record of the run.
     * @param addresses - Addresses of its machine.
     * @param service - Name of its service.
     * @param handle - Answers a request that it runs: `(request, endpoint) => void`. The request has `attempt`, `method`, `path`,
     *   `headers`, `body`, `socket` and `answer(status, body, headers)`.
     */
    static async create(recorder, addresses, service, handle) {
        const endpoint = new Endpoint(recorder, addresses, service, handle);
        const [host, port] = addresses.app.split(":");
        endpoint.#server = createServer({ noDelay: true }, (socket) => endpoint.#accept(socket));
        endpoint.#server.listen(Number(port), host);
        await once(endpoint.#server, "listening");
        return endpoint;
    }

    /** Starts the check-ins. */
    startCheckIns() {
        this.#timer = setInterval(() => void this.checkIn(), HEARTBEAT_MS);
        return this.checkIn();
    }

    /** Sends one check-in. */
    async checkIn() {
        this.sequence += 1;
        const body = {
            address: this.#addresses.app,
            born: this.bornAtMs,
            info: { service: this.service, zone: "zone-a", version: "v1", slots: this.slots },
            status: { state: this.state, seq_no: this.sequence, cold_remaining: "0ms" },
        };
        const reply = await sendJson(this.#addresses.control, "PUT", `/instances/${this.id}`, body);
        this.#recorder.record("check-in", { id: this.id, state: this.state, sequence: this.sequence, status: reply?.status });
        return reply;
    }

    /** Stops the endpoint and closes its connections. */
    close() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#sockets.forEach((socket) => socket.destroy());
    }

    #accept(socket) {
        this.#sockets.add(socket);
        let data = Buffer.alloc(0);
        socket.on("close", () => this.#sockets.delete(socket));
        socket.on("error", () => undefined);
        socket.on("data", (chunk) => {
            data = Buffer.concat([data, chunk]);
            const request = parseRequest(data);
            if (request !== undefined) {
                data = data.subarray(request.bytes);
                this.#serve(socket, request);
            }
        });
    }

    #serve(socket, { method, path, headers, body }) {
        const attempt = headers["attempt-id"];
        const send = (status, answerBody, answerHeaders) => socket.write(encodeAnswer(status, { "Attempt-Id": attempt, ...answerHeaders }, answerBody));
        if (path === "/health") {
            send(200, "", { "Instance-Id": this.id });
            return;
        }
        const expected = headers["expected-instance"];
        if (expected !== undefined && expected !== this.id) {
            this.#recorder.record("rejected", { attempt, endpoint: this.id, expected });
            send(421, "", { "Not-Executed": "1" });
            return;
        }
        this.#recorder.record("run", { attempt, path, endpoint: this.id, service: this.service, caller: headers["caller-service"] });
        const answer = (status, answerBody, answerHeaders = {}) => {
            this.#recorder.record("answered by endpoint", { attempt, status, bytes: answerBody.length });
            send(status, answerBody, { "Response-Signature": randomBytes(8).toString("hex"), ...answerHeaders });
        };
        this.#handle({ attempt, method, path, headers, body, socket, answer }, this);
    }
}

function encodeAnswer(status, headers, body) {
    const fields = { ...headers, ...("Content-Length" in headers ? {} : { "Content-Length": Buffer.byteLength(body) }) };
    const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
    return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} X\r\n${lines.join("\r\n")}${HEAD_END}`, "latin1"), Buffer.from(body)]);
}

/** Parses a request whose body is framed by its length; undefined until it is complete. */
function parseRequest(data) {
    const end = data.indexOf(HEAD_END);
    if (end < 0) {
        return undefined;
    }
    const [requestLine, ...lines] = data.subarray(0, end).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]));
    const [method, path] = requestLine.split(" ");
    const bytes = end + HEAD_END.length + Number(headers["content-length"] ?? 0);
    return data.length < bytes ? undefined : { method, path, headers, body: data.subarray(end + HEAD_END.length, bytes), bytes };
}
