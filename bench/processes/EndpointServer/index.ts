import { createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import { request } from "node:http";
import { responseBody } from "../responseBody/index.js";
import { RunRecord } from "../RunRecord.js";

const HEARTBEAT_INTERVAL_MS = 1_500;
const HEAD_END = "\r\n\r\n";
const SLOTS = 8;
const PATH = /^\/w(\d+)\/s(\d+)\//;

interface ReceivedHead {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly bodyBytes: number;
}

/** Backend server on a VM of the soak. The path of a request says how long it runs and how large its response is. */
export class EndpointServer {
    private readonly id: string;
    private readonly bornAtMs = Date.now();
    private sequence = 0;
    private timer: NodeJS.Timeout | undefined;

    private constructor(
        private readonly server: Server,
        private readonly vm: number,
        private readonly service: string,
        private readonly addresses: { readonly backend: string; readonly control: string },
        private readonly runs: RunRecord[],
        private readonly nowMs: () => number,
        private readonly misbehave: (socket: Socket, path: string, attemptId: string) => boolean,
    ) {
        this.id = `i-${vm}`;
        server.on("connection", (socket: Socket) => this.handleConnection(socket));
    }

    /**
     * Starts a backend server and its heartbeats.
     *
     * @param vm - Number of its VM.
     * @param service - Name of its service.
     * @param addresses - Its own address, and that of the proxy for heartbeats.
     * @param runs - Receives a record of each run.
     * @param nowMs - Clock of the soak.
     * @param misbehave - Called with each request; returns true if it has taken the response on itself.
     */
    static async create(
        vm: number,
        service: string,
        addresses: { readonly backend: string; readonly control: string },
        runs: RunRecord[],
        nowMs: () => number,
        misbehave: (socket: Socket, path: string, attemptId: string) => boolean = () => false,
    ): Promise<EndpointServer> {
        const server = createServer({ noDelay: true });
        const [host, port] = addresses.backend.split(":");
        server.listen(Number(port), host);
        await once(server, "listening");
        const endpoint = new EndpointServer(server, vm, service, addresses, runs, nowMs, misbehave);
        endpoint.timer = setInterval(() => endpoint.report(), HEARTBEAT_INTERVAL_MS);
        endpoint.report();
        return endpoint;
    }

    /** Stops the server and its heartbeats. */
    close(): void {
        clearInterval(this.timer);
        this.server.close();
    }

    private report(): void {
        this.sequence += 1;
        const body = JSON.stringify({
            address: this.addresses.backend,
            born: this.bornAtMs,
            info: { service: this.service, zone: "a", version: "v1", slots: SLOTS },
            status: { state: "ready", seq_no: this.sequence, cold_remaining: "0ms" },
        });
        const [host, port] = this.addresses.control.split(":");
        const headers = { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
        // The next heartbeat makes up for one that fails while the proxy restarts.
        request({ host, port, method: "PUT", path: `/instances/${this.id}`, headers, agent: false, timeout: 1_000 }, (response) => response.resume())
            .on("error", () => undefined).end(body);
    }

    private handleConnection(socket: Socket): void {
        let data = Buffer.alloc(0);
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            data = Buffer.concat([data, chunk]);
            const end = data.indexOf(HEAD_END);
            const head = end < 0 ? undefined : parseHead(data.subarray(0, end).toString("latin1"));
            if (head !== undefined && data.length >= end + HEAD_END.length + head.bodyBytes) {
                data = data.subarray(end + HEAD_END.length + head.bodyBytes);
                this.handleRequest(socket, head);
            }
        });
    }

    private handleRequest(socket: Socket, { path, headers }: ReceivedHead): void {
        const attemptId = headers["attempt-id"] ?? "";
        if (this.misbehave(socket, path, attemptId)) {
            return;
        }
        if (headers["expected-instance"] !== this.id) {
            socket.write(`HTTP/1.1 421 X\r\nAttempt-Id: ${attemptId}\r\nNot-Executed: 1\r\nContent-Length: 0${HEAD_END}`);
            return;
        }
        const [, workMs = "0", bytes = "0"] = PATH.exec(path) ?? [];
        const run: RunRecord = {
            attemptId,
            vm: this.vm,
            callerService: headers["caller-service"],
            tenant: headers.tenant,
            hasKey: headers.authorization !== undefined,
            startedAtMs: this.nowMs(),
            finishedAtMs: undefined,
        };
        this.runs.push(run);
        const stopWork = (): void => clearTimeout(timer);
        const timer = setTimeout(() => {
            socket.off("close", stopWork);
            run.finishedAtMs = this.nowMs();
            const body = responseBody(attemptId, Number(bytes));
            const fields = `Attempt-Id: ${attemptId}\r\nResponse-Signature: ${attemptId}\r\nContent-Length: ${body.length}`;
            socket.write(Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\n${fields}${HEAD_END}`), body]));
        }, Number(workMs));
        socket.once("close", stopWork);
    }
}

function parseHead(text: string): ReceivedHead {
    const [requestLine = "", ...lines] = text.split("\r\n");
    const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]));
    return { path: requestLine.split(" ")[1] ?? "", headers, bodyBytes: Number(headers["content-length"] ?? 0) };
}
