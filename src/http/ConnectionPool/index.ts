import { Client } from "undici";
import { nowMs } from "../../clock/nowMs/index.js";
import { FleetError } from "../../model/FleetError.js";
import { Step } from "../../model/Step.js";
import { PooledAnswer } from "../PooledAnswer.js";
import { PooledRequest } from "../PooledRequest.js";

const PROOF_VALID_MS = 2_000;
const IDLE_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 1_000;

interface PooledConnection {
    readonly client: Client;
    readonly bornAtMs: number;
    provenAtMs: number;
    idleSinceMs: number;
    isBusy: boolean;
    isRetired: boolean;
}

/**
 * Connections to one address, one request on each at a time. Work that must not be repeated gets a connection that
 * is new or has answered within the last seconds; a group of connections that went mute is retired as a whole.
 */
export class ConnectionPool {
    private connections: PooledConnection[] = [];

    private constructor(private readonly origin: string, private readonly maxConnections: number) {}

    /**
     * Creates a pool without connections.
     *
     * @param address - `host:port` of the other end.
     * @param maxConnections - Most connections at the same time.
     */
    static create(address: string, maxConnections: number): ConnectionPool {
        return new ConnectionPool(`http://${address}`, maxConnections);
    }

    /** Number of connections held. */
    get size(): number {
        return this.connections.length;
    }

    /**
     * Sends a request and waits for the head of its answer.
     *
     * @throws FleetError if all connections are busy; Error of undici if the connection fails.
     */
    async request(request: PooledRequest): Promise<PooledAnswer> {
        const connection = this.acquire(request.needsProof);
        connection.isBusy = true;
        request.onConnection?.(connection.bornAtMs);
        try {
            const answer = await connection.client.request({
                method: request.method,
                path: request.path,
                headers: request.headers,
                body: request.body ?? null,
                signal: request.signal,
            });
            connection.provenAtMs = nowMs();
            answer.body.once("end", () => this.release(connection));
            answer.body.once("close", () => this.releaseOrDrop(connection));
            return {
                status: answer.statusCode,
                headers: answer.headers,
                body: answer.body,
                connectionBornAtMs: connection.bornAtMs,
            };
        }
        catch (thrown) {
            this.drop(connection);
            throw thrown;
        }
    }

    /** Takes all connections out of use that were opened at or before a time; requests on them go on. */
    retire(bornAtOrBeforeMs: number): number {
        const mute = this.connections.filter((connection) => connection.bornAtMs <= bornAtOrBeforeMs);
        mute.forEach((connection) => {
            connection.isRetired = true;
        });
        mute.filter((connection) => !connection.isBusy).forEach((connection) => this.drop(connection));
        return mute.length;
    }

    /** Closes connections that have been idle for long. */
    closeIdle(): void {
        const idleSinceMs = nowMs() - IDLE_TIMEOUT_MS;
        this.connections
            .filter((connection) => !connection.isBusy && connection.idleSinceMs < idleSinceMs)
            .forEach((connection) => this.drop(connection));
    }

    /** Closes all connections at once. */
    close(): void {
        [...this.connections].forEach((connection) => this.drop(connection));
    }

    private acquire(needsProof: boolean): PooledConnection {
        const provenSinceMs = needsProof ? nowMs() - PROOF_VALID_MS : 0;
        const usable = this.connections.filter((connection) =>
            !connection.isBusy && !connection.isRetired && connection.provenAtMs >= provenSinceMs);
        const newest = usable.reduce<PooledConnection | undefined>(
            (best, connection) => best === undefined || connection.provenAtMs > best.provenAtMs ? connection : best,
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
        const bornAtMs = nowMs();
        const connection = { client, bornAtMs, provenAtMs: bornAtMs, idleSinceMs: bornAtMs, isBusy: false, isRetired: false };
        this.connections.push(connection);
        return connection;
    }

    private dropOldestIdle(): void {
        const oldest = this.connections
            .filter((connection) => !connection.isBusy)
            .sort((left, right) => left.provenAtMs - right.provenAtMs)[0];
        if (oldest !== undefined) {
            this.drop(oldest);
        }
    }

    private release(connection: PooledConnection): void {
        connection.isBusy = false;
        connection.provenAtMs = nowMs();
        connection.idleSinceMs = connection.provenAtMs;
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
