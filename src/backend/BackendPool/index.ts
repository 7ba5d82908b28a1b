import { nowMs } from "../../clock/nowMs/index.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { toError } from "../../model/toError/index.js";
import { BackendConnection } from "../BackendConnection/index.js";
import { BackendExchange } from "../BackendExchange.js";
import { BackendPort } from "../BackendPort.js";
import { BackendRequest } from "../BackendRequest.js";
import { BackendResult } from "../BackendResult.js";
import { BackendResultKind } from "../BackendResultKind.js";
import { ResponseDialect } from "../ResponseDialect.js";

/** Timeout for connecting to the backend server on the same VM, in ms; a handshake takes about 1 ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Time for which a response proves that its connection is alive, in ms. */
const MAX_RESPONSE_AGE_MS = 2_000;
/**
 * Time after a request within which the failure of a reused connection counts as stale, in ms: the backend server had
 * closed the connection before, and has not executed the request.
 */
const MAX_STALE_FAILURE_MS = 20;
/** Limit on the buffered bytes of incomplete responses: about a third of the memory of a small VM. */
const MAX_BUFFERED_BYTES = 48 * 1_024 * 1_024;
/**
 * Limit on the bodies of requests without a response, in bytes: the largest body that the configuration usually allows. A body is held
 * until its response, since it may be sent again, and the socket holds the same buffer while its endpoint does not read.
 */
const MAX_REQUEST_BYTES = 64 * 1_024 * 1_024;
const UNLIMITED_IDLE_MS = Number.POSITIVE_INFINITY;

/**
 * Pool of connections to one backend server. A request that must not be repeated gets a connection that is new or has
 * received a response recently, and is sent once. Other requests are sent again if a reused connection was stale.
 */
export class BackendPool implements BackendPort {
    private connections: BackendConnection[] = [];
    private openedConnections = 0;
    private heldRequestBytes = 0;
    private readonly budget = ByteBudget.create(MAX_BUFFERED_BYTES);

    private constructor(
        private readonly host: string,
        private readonly port: number,
        private readonly dialect: ResponseDialect,
        private readonly maxRequestBytes: number,
    ) {}

    /**
     * Creates a pool without connections.
     *
     * @param address - `host:port` of the backend server.
     * @param dialect - Conventions by which its responses identify themselves.
     * @param maxRequestBytes - Limit on the bodies of requests without a response; one that is larger is sent alone.
     */
    static create(address: string, dialect: ResponseDialect, maxRequestBytes = MAX_REQUEST_BYTES): BackendPool {
        const [host, port] = address.split(":");
        return new BackendPool(host ?? "", Number(port), dialect, maxRequestBytes);
    }

    /** Number of connections opened since the start. */
    get openedCount(): number {
        return this.openedConnections;
    }

    /** Bytes of incomplete responses that all connections hold. */
    get bufferedBytes(): number {
        return this.budget.heldBytes;
    }

    /** Bytes of the bodies of requests that were sent and have no response yet, whether the backend server has read them or not. */
    get requestBytes(): number {
        return this.heldRequestBytes;
    }

    /**
     * Sends a request, unless the bodies of requests without a response take too much.
     *
     * @param request - The request.
     * @param needsLiveConnection - True for a request that must not be repeated: its connection is new or has responded recently.
     * @param onResend - Called when the request is sent a second time because its first connection was stale.
     * @returns The exchange, which can be cancelled.
     */
    send(request: BackendRequest, needsLiveConnection: boolean, onResend: () => void = () => undefined): BackendExchange {
        const bodyBytes = request.body.length;
        const heldBytes = this.heldRequestBytes + bodyBytes;
        if (this.heldRequestBytes > 0 && heldBytes > this.maxRequestBytes) {
            const result = { kind: BackendResultKind.NotSent as const, heldBytes, limitBytes: this.maxRequestBytes };
            return { result: Promise.resolve(result), cancel: () => undefined };
        }
        this.heldRequestBytes = heldBytes;
        const exchange = { connection: undefined as BackendConnection | undefined, isCancelled: false };
        const sendAndRetryStale = async (): Promise<BackendResult> => {
            const reused = request.requestId === "" ? undefined : this.findIdle(needsLiveConnection ? MAX_RESPONSE_AGE_MS : UNLIMITED_IDLE_MS);
            if (reused !== undefined) {
                exchange.connection = reused;
                const result = await this.exchangeOn(reused, request);
                if (!isStaleFailure(result) || needsLiveConnection || exchange.isCancelled) {
                    return result;
                }
                onResend();
            }
            return this.sendOnNew(request, exchange);
        };
        return {
            result: sendAndRetryStale().finally(() => this.heldRequestBytes -= bodyBytes),
            cancel: () => {
                exchange.isCancelled = true;
                exchange.connection?.close();
            },
        };
    }

    /** Closes connections that cannot be reused. */
    closeUnusable(): void {
        const atMs = nowMs();
        this.connections.filter((connection) => connection.isDone || (!connection.isBusy && !connection.isUsable(atMs, UNLIMITED_IDLE_MS)))
            .forEach((connection) => connection.close());
        this.connections = this.connections.filter((connection) => !connection.isDone);
    }

    /** Closes all connections. */
    close(): void {
        this.connections.forEach((connection) => connection.close());
        this.connections = [];
    }

    private async sendOnNew(
        request: BackendRequest,
        exchange: { connection: BackendConnection | undefined; isCancelled: boolean },
    ): Promise<BackendResult> {
        try {
            this.openedConnections += 1;
            exchange.connection = await BackendConnection.create(this.host, this.port, CONNECT_TIMEOUT_MS, this.dialect, this.budget);
        }
        catch (thrown) {
            return { kind: BackendResultKind.NotConnected, problem: toError(thrown).message };
        }
        this.connections.push(exchange.connection);
        if (exchange.isCancelled) {
            exchange.connection.close();
            return { kind: BackendResultKind.NotConnected, problem: "cancelled before the connection was open" };
        }
        return this.exchangeOn(exchange.connection, request);
    }

    private async exchangeOn(connection: BackendConnection, request: BackendRequest): Promise<BackendResult> {
        const result = await connection.exchange(request);
        this.closeUnusable();
        return result;
    }

    private findIdle(maxIdleMs: number): BackendConnection | undefined {
        const atMs = nowMs();
        return this.connections
            .filter((connection) => connection.isUsable(atMs, maxIdleMs))
            .reduce<BackendConnection | undefined>((best, connection) =>
                best === undefined || connection.lastUsedAtMs > best.lastUsedAtMs ? connection : best, undefined);
    }
}

function isStaleFailure(result: BackendResult): boolean {
    return result.kind === BackendResultKind.Broken && result.wasReused && !result.hadResponseBytes && result.afterMs < MAX_STALE_FAILURE_MS;
}
