import { Client } from "undici";
import { nowMs } from "../../clock/nowMs/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { isFinalStatus } from "../isFinalStatus/index.js";
import { PooledRequest } from "../PooledRequest.js";
import { PooledResponse } from "../PooledResponse.js";

/** Time for which a response proves that its connection is alive, in ms. */
const MAX_RESPONSE_AGE_MS = 2_000;
const IDLE_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 1_000;

interface PooledConnection {
    readonly client: Client;
    readonly openedAtMs: number;
    lastResponseAtMs: number;
    idleSinceMs: number;
    isBusy: boolean;
    isRetired: boolean;
}

/**
 * Pool of HTTP connections to one address, each with one request at a time. A request that must not be repeated gets a
 * connection that is new or has received a response within the last two seconds. When a connection stops responding, all
 * connections of its age or older can be retired together.
 */
export class ConnectionPool {
    private connections: PooledConnection[] = [];

    private constructor(private readonly origin: string, private readonly maxConnections: number) {}

    /**
     * Creates a pool without connections.
     *
     * @param address - `host:port` of the server.
     * @param maxConnections - Maximum number of open connections.
     */
    static create(address: string, maxConnections: number): ConnectionPool {
        return new ConnectionPool(`http://${address}`, maxConnections);
    }

    /** Number of open connections. */
    get size(): number {
        return this.connections.length;
    }

    /**
     * Sends a request and waits for the header section of its response.
     *
     * @throws FleetError if all connections are busy, or an error of undici if the connection fails or its response is invalid.
     */
    async request(request: PooledRequest): Promise<PooledResponse> {
        const connection = this.acquire(request.needsLiveConnection);
        connection.isBusy = true;
        request.onConnection?.(connection.openedAtMs);
        try {
            const response = await connection.client.request({
                method: request.method,
                path: request.path,
                headers: request.headers,
                body: request.body ?? null,
                signal: request.signal,
            });
            if (!isFinalStatus(response.statusCode)) {
                response.body.once("error", () => undefined);
                throw new Error(`invalid status ${response.statusCode}`);
            }
            connection.lastResponseAtMs = nowMs();
            response.body.once("end", () => this.release(connection));
            response.body.once("close", () => this.releaseOrDrop(connection));
            return {
                status: response.statusCode,
                headers: response.headers,
                body: response.body,
                connectionOpenedAtMs: connection.openedAtMs,
            };
        }
        catch (thrown) {
            this.drop(connection);
            throw thrown;
        }
    }

    /**
     * Retires all connections that were opened at or before a time. Requests in flight on them continue.
     *
     * @returns Number of retired connections.
     */
    retire(openedAtOrBeforeMs: number): number {
        const retired = this.connections.filter((connection) => connection.openedAtMs <= openedAtOrBeforeMs);
        retired.forEach((connection) => {
            connection.isRetired = true;
        });
        retired.filter((connection) => !connection.isBusy).forEach((connection) => this.drop(connection));
        return retired.length;
    }

    /** Closes connections that have been idle for longer than the idle timeout. */
    closeIdle(): void {
        const idleSinceMs = nowMs() - IDLE_TIMEOUT_MS;
        this.connections
            .filter((connection) => !connection.isBusy && connection.idleSinceMs < idleSinceMs)
            .forEach((connection) => this.drop(connection));
    }

    /** Closes all connections immediately. */
    close(): void {
        [...this.connections].forEach((connection) => this.drop(connection));
    }

    private acquire(needsLiveConnection: boolean): PooledConnection {
        const respondedSinceMs = needsLiveConnection ? nowMs() - MAX_RESPONSE_AGE_MS : 0;
        const usable = this.connections.filter((connection) =>
            !connection.isBusy && !connection.isRetired && connection.lastResponseAtMs >= respondedSinceMs);
        const newest = usable.reduce<PooledConnection | undefined>(
            (best, connection) => best === undefined || connection.lastResponseAtMs > best.lastResponseAtMs ? connection : best,
            undefined,
        );
        return newest ?? this.open();
    }

    private open(): PooledConnection {
        if (this.connections.length >= this.maxConnections) {
            this.dropOldestIdle();
        }
        if (this.connections.length >= this.maxConnections) {
            throw FleetError.create({ step: Step.Attempt, peer: this.origin }, "all connections are busy");
        }
        const client = new Client(this.origin, {
            pipelining: 1,
            connectTimeout: CONNECT_TIMEOUT_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: IDLE_TIMEOUT_MS,
        });
        const openedAtMs = nowMs();
        const connection = { client, openedAtMs, lastResponseAtMs: openedAtMs, idleSinceMs: openedAtMs, isBusy: false, isRetired: false };
        this.connections.push(connection);
        return connection;
    }

    private dropOldestIdle(): void {
        const oldest = this.connections
            .filter((connection) => !connection.isBusy)
            .sort((left, right) => left.lastResponseAtMs - right.lastResponseAtMs)[0];
        if (oldest !== undefined) {
            this.drop(oldest);
        }
    }

    private release(connection: PooledConnection): void {
        connection.isBusy = false;
        connection.lastResponseAtMs = nowMs();
        connection.idleSinceMs = connection.lastResponseAtMs;
        if (connection.isRetired) {
            this.drop(connection);
        }
    }

    private releaseOrDrop(connection: PooledConnection): void {
        if (connection.isBusy) {
            this.drop(connection);
        }
    }

    private drop(connection: PooledConnection): void {
        this.connections = this.connections.filter((other) => other !== connection);
        connection.client.destroy().catch(() => undefined);
    }
}
