import { createHash } from "node:crypto";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { makeBody } from "../makeBody/index.js";
import { StandInOptions } from "../StandInOptions.js";

const CHUNK_BYTES = 64 * 1_024;
const SMALL_BODY_BYTES = 512;

/**
 * Stand-in for a backend server: counts the executions of work by its `x-work-id`, serves documents of any size with
 * a strong entity tag, a digest and ranges, and works for a set time on each request.
 */
export class StandInServer {
    private readonly executions = new Map<string, number>();
    private readonly server: Server;

    private constructor(private readonly options: StandInOptions) {
        this.server = createServer((request, response) => void this.handle(request, response).catch(() => response.destroy()));
    }

    /** Starts a server. */
    static async create(options: StandInOptions): Promise<StandInServer> {
        const standIn = new StandInServer(options);
        standIn.server.listen(options.port, "127.0.0.1");
        await once(standIn.server, "listening");
        return standIn;
    }

    /** Stops the server at once. */
    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://stand-in");
        if (url.pathname === "/stand-in/executions") {
            response.end(JSON.stringify(Object.fromEntries(this.executions)));
            return;
        }
        if (url.searchParams.get("fault") === "crash") {
            process.exit(1);
        }
        if (request.method === "GET" || request.method === "HEAD") {
            await this.sendDocument(request, response, url);
            return;
        }
        await this.runWork(request, response);
    }

    private async runWork(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const digest = createHash("sha256");
        for await (const chunk of request as AsyncIterable<Buffer>) {
            digest.update(chunk);
        }
        const id = String(request.headers["x-work-id"] ?? "");
        this.executions.set(id, (this.executions.get(id) ?? 0) + 1);
        await delay(Number(request.headers["x-work-ms"] ?? this.options.serviceMs));
        const body = JSON.stringify({ id, digest: digest.digest("hex"), by: this.options.endpointId });
        response.writeHead(201, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        response.end(body);
    }

    private async sendDocument(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        const whole = makeBody(url.pathname, Number(url.searchParams.get("bytes") ?? SMALL_BODY_BYTES));
        const tag = `"${createHash("sha256").update(whole).digest("hex").slice(0, 16)}"`;
        const from = rangeStart(request, tag);
        await delay(this.options.serviceMs);
        const body = damage(whole.subarray(from ?? 0), url.searchParams.get("fault"));
        response.writeHead(from === undefined ? 200 : 206, {
            "content-type": "application/octet-stream",
            "content-length": body.length,
            "etag": tag,
            ...(from === undefined
                ? { "content-digest": `sha-256=:${createHash("sha256").update(whole).digest("base64")}:` }
                : { "content-range": `bytes ${from}-${whole.length - 1}/${whole.length}` }),
        });
        if (request.method === "HEAD") {
            response.end();
            return;
        }
        if (url.searchParams.get("fault") === "truncate") {
            response.write(body.subarray(0, body.length / 2), () => response.destroy());
            return;
        }
        await this.send(response, body);
    }

    private async send(response: ServerResponse, body: Buffer): Promise<void> {
        const { bytesPerMs } = this.options;
        for (let offset = 0; offset < body.length && !response.destroyed; offset += CHUNK_BYTES) {
            const chunk = body.subarray(offset, offset + CHUNK_BYTES);
            if (!response.write(chunk)) {
                await Promise.race([once(response, "drain"), once(response, "close")]);
            }
            if (bytesPerMs > 0) {
                await delay(chunk.length / bytesPerMs);
            }
        }
        response.end();
    }
}

function damage(body: Buffer, fault: string | null): Buffer {
    if (fault !== "corrupt") {
        return body;
    }
    const damaged = Buffer.from(body);
    damaged[0] = (damaged[0] ?? 0) ^ 1;
    return damaged;
}

function rangeStart(request: IncomingMessage, tag: string): number | undefined {
    const match = /^bytes=(\d+)-$/.exec(request.headers.range ?? "");
    const mayUse = request.headers["if-range"] === undefined || request.headers["if-range"] === tag;
    return match !== null && mayUse ? Number(match[1]) : undefined;
}
