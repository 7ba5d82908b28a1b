import { createHash } from "node:crypto";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { makeBody } from "../makeBody/index.js";
import { StandInOptions } from "../StandInOptions.js";

const CHUNK_BYTES = 64 * 1_024;
const SMALL_BODY_BYTES = 512;

/**
 * A stand-in for a backend server. Counts the executions per `x-work-id`, serves documents of any size with a strong
 * entity tag, a digest and range requests, and takes a fixed time for each request. The query parameter `fault`
 * injects a fault: `crash`, `truncate` or `corrupt`.
 */
export class StandInServer {
    private readonly executions = new Map<string, number>();
    private readonly server: Server;

    private constructor(private readonly options: StandInOptions) {
        this.server = createServer((request, response) => void this.handle(request, response).catch(() => response.destroy()));
    }

    /** Starts a server and waits until it listens. */
    static async create(options: StandInOptions): Promise<StandInServer> {
        const standIn = new StandInServer(options);
        standIn.server.listen(options.port, "127.0.0.1");
        await once(standIn.server, "listening");
        return standIn;
    }

    /** Stops the server and closes all its connections immediately. */
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
        const workId = String(request.headers["x-work-id"] ?? "");
        this.executions.set(workId, (this.executions.get(workId) ?? 0) + 1);
        await delay(Number(request.headers["x-work-ms"] ?? this.options.serviceMs));
        const body = JSON.stringify({ id: workId, digest: digest.digest("hex"), by: this.options.endpointId });
        response.writeHead(201, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        response.end(body);
    }

    private async sendDocument(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        const document = makeBody(url.pathname, Number(url.searchParams.get("bytes") ?? SMALL_BODY_BYTES));
        const entityTag = `"${createHash("sha256").update(document).digest("hex").slice(0, 16)}"`;
        const rangeStart = parseRangeStart(request, entityTag);
        await delay(this.options.serviceMs);
        const body = corruptIfRequested(document.subarray(rangeStart ?? 0), url.searchParams.get("fault"));
        response.writeHead(rangeStart === undefined ? 200 : 206, {
            "content-type": "application/octet-stream",
            "content-length": body.length,
            "etag": entityTag,
            ...(rangeStart === undefined
                ? { "content-digest": `sha-256=:${createHash("sha256").update(document).digest("base64")}:` }
                : { "content-range": `bytes ${rangeStart}-${document.length - 1}/${document.length}` }),
        });
        if (request.method === "HEAD") {
            response.end();
            return;
        }
        if (url.searchParams.get("fault") === "truncate") {
            response.write(body.subarray(0, body.length / 2), () => response.destroy());
            return;
        }
        await this.sendBody(response, body);
    }

    private async sendBody(response: ServerResponse, body: Buffer): Promise<void> {
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

function corruptIfRequested(body: Buffer, fault: string | null): Buffer {
    if (fault !== "corrupt") {
        return body;
    }
    const corrupted = Buffer.from(body);
    corrupted[0] = (corrupted[0] ?? 0) ^ 1;
    return corrupted;
}

function parseRangeStart(request: IncomingMessage, entityTag: string): number | undefined {
    const match = /^bytes=(\d+)-$/.exec(request.headers.range ?? "");
    const isRangeApplicable = request.headers["if-range"] === undefined || request.headers["if-range"] === entityTag;
    return match !== null && isRangeApplicable ? Number(match[1]) : undefined;
}
