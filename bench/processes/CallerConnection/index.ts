import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { AttemptEnd } from "../AttemptEnd.js";
import { AttemptRecord } from "../AttemptRecord.js";
import { responseBody } from "../responseBody/index.js";

const CONNECT_TIMEOUT_MS = 1_000;
const HEAD_END = "\r\n\r\n";
/** Size of the pieces in which a request body is sent. */
const PIECE_BYTES = 32_768;
/** Time to wait before the next piece while the send buffer is full, in ms. */
const FULL_BUFFER_DELAY_MS = 20;

/** Line between a caller and a proxy. */
interface Line {
    readonly readBytesPerMs: number;
    /** Time that bytes and the end of the connection take in each direction. */
    readonly latencyMs: number;
}

interface OutstandingAttempt {
    readonly record: AttemptRecord;
    readonly expectedBytes: number;
    readonly resolve: () => void;
    readonly timer: NodeJS.Timeout;
}

/** Connection of a caller to a proxy, on which requests may be pipelined and responses read slowly. */
export class CallerConnection {
    private readonly outstanding: OutstandingAttempt[] = [];
    private data = Buffer.alloc(0);
    private isClosed = false;

    private constructor(private readonly socket: Socket, private readonly line: Line, private readonly nowMs: () => number) {
        socket.on("data", (chunk: Buffer) => this.handleData(chunk));
        socket.on("end", () => this.afterLatency(() => this.fail(AttemptEnd.Closed)));
        socket.on("error", () => this.afterLatency(() => this.fail(AttemptEnd.Reset)));
        socket.on("close", () => this.afterLatency(() => this.fail(AttemptEnd.Closed)));
    }

    /**
     * Opens a connection.
     *
     * @param address - `host:port` of a proxy for callers.
     * @param line - Rate at which responses are read, and latency.
     * @param nowMs - Clock of the soak.
     * @returns The connection, or undefined if it was refused or not opened in time.
     */
    static async create(address: string, line: Line, nowMs: () => number): Promise<CallerConnection | undefined> {
        const [host, port] = address.split(":");
        const socket = connect({ host, port: Number(port), noDelay: true });
        socket.on("error", () => undefined);
        try {
            await once(socket, "connect", { signal: AbortSignal.timeout(CONNECT_TIMEOUT_MS) });
        }
        catch {
            socket.destroy();
            return undefined;
        }
        return new CallerConnection(socket, line, nowMs);
    }

    /** True while requests can be sent. */
    get isOpen(): boolean {
        return !this.isClosed;
    }

    /** Number of requests without a complete response. */
    get outstandingCount(): number {
        return this.outstanding.length;
    }

    /**
     * Sends a request and waits until it ends.
     *
     * @param record - Record of the request, which is completed.
     * @param expectedBytes - Length of the body of its response.
     * @param bodyBytes - Length of the request body, which is sent in pieces.
     */
    send(record: AttemptRecord, expectedBytes: number, bodyBytes: number): Promise<void> {
        return new Promise((resolve) => {
            const timer = setTimeout(() => {
                this.fail(AttemptEnd.TimedOut);
                this.close();
            }, record.deadlineMs);
            this.outstanding.push({ record, expectedBytes, resolve, timer });
            void this.write(record, bodyBytes);
        });
    }

    /** Closes the connection. */
    close(): void {
        this.isClosed = true;
        this.socket.destroy();
    }

    private async write(record: AttemptRecord, bodyBytes: number): Promise<void> {
        const method = bodyBytes > 0 ? "POST" : "GET";
        const lines = [
            `${method} ${record.path} HTTP/1.1`,
            `Host: ${record.kind}.example`,
            `Attempt-Id: ${record.id}`,
            `Deadline-Ms: ${record.deadlineMs}`,
            // The name is that of no organisation; a proxy replaces it once there are any.
            ...record.apiKey === undefined ? [] : [`Authorization: Bearer ${record.apiKey}`, "Tenant: forged"],
            ...bodyBytes > 0 ? [`Content-Length: ${bodyBytes}`] : [],
        ];
        const send = (piece: string | Buffer, isLast: boolean): void => this.afterLatency(() => {
            this.socket.write(piece);
            if (isLast) {
                record.sentAtMs = this.nowMs() - this.line.latencyMs;
            }
        });
        send(`${lines.join("\r\n")}${HEAD_END}`, bodyBytes === 0);
        for (let sentBytes = 0; sentBytes < bodyBytes && !this.isClosed; sentBytes += PIECE_BYTES) {
            send(Buffer.alloc(Math.min(PIECE_BYTES, bodyBytes - sentBytes), "u"), sentBytes + PIECE_BYTES >= bodyBytes);
            await delay(this.socket.writableNeedDrain ? FULL_BUFFER_DELAY_MS : 1);
        }
    }

    /** Runs what the other end sees or causes after the latency of the line, in the order of the calls. */
    private afterLatency(action: () => void): void {
        setTimeout(action, this.line.latencyMs);
    }

    private handleData(chunk: Buffer): void {
        const { readBytesPerMs } = this.line;
        this.afterLatency(() => {
            this.data = Buffer.concat([this.data, chunk]);
            while (this.readResponse()) {
                // Pipelined responses may arrive together.
            }
        });
        if (Number.isFinite(readBytesPerMs)) {
            this.socket.pause();
            setTimeout(() => this.socket.resume(), chunk.length / readBytesPerMs);
        }
    }

    private readResponse(): boolean {
        const end = this.data.indexOf(HEAD_END);
        const [attempt] = this.outstanding;
        if (end < 0 || attempt === undefined) {
            return false;
        }
        const [statusLine = "", ...lines] = this.data.subarray(0, end).toString("latin1").split("\r\n");
        const find = (name: string): string | undefined => lines.find((line) => line.toLowerCase().startsWith(`${name}: `))?.slice(name.length + 2);
        const bytes = end + HEAD_END.length + Number(find("content-length") ?? 0);
        if (this.data.length < bytes) {
            return false;
        }
        const { record, expectedBytes } = attempt;
        const body = this.data.subarray(end + HEAD_END.length, bytes);
        record.status = Number(statusLine.split(" ")[1]);
        record.isGenuine = find("response-signature") === record.id && body.equals(responseBody(record.id, expectedBytes));
        this.data = this.data.subarray(bytes);
        this.finish(attempt, AttemptEnd.Complete);
        if (find("connection")?.toLowerCase() === "close") {
            this.fail(AttemptEnd.Closed);
            this.close();
        }
        return true;
    }

    private finish(attempt: OutstandingAttempt, end: AttemptEnd): void {
        this.outstanding.splice(this.outstanding.indexOf(attempt), 1);
        clearTimeout(attempt.timer);
        attempt.record.end = end;
        attempt.record.endedAtMs = this.nowMs();
        attempt.resolve();
    }

    private fail(end: AttemptEnd): void {
        this.isClosed = true;
        [...this.outstanding].forEach((attempt) => this.finish(attempt, end));
    }
}
