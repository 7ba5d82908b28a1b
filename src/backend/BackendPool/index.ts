import { nowMs } from "../../clock/nowMs/index.js";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { toError } from "../../model/toError/index.js";
import { AnswerDialect } from "../AnswerDialect.js";
import { BackendCall } from "../BackendCall.js";
import { BackendConnection } from "../BackendConnection/index.js";
import { BackendExchange } from "../BackendExchange.js";
import { BackendResult } from "../BackendResult.js";
import { BackendResultKind } from "../BackendResultKind.js";

/** Time to wait for a connection to the backend server on the same VM, in ms; a handshake takes about 1 ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Work that must not be repeated is sent only on connections that have answered within this time, in ms. */
const PROVEN_MS = 2_000;
/** A kept connection that breaks within this time of a request, in ms, had been forgotten before: nothing has run. */
const STALE_MS = 20;
/** Bytes of unfinished answers that are held at the same time; a third of the memory of a small VM is left to it. */
const MAX_HELD_BYTES = 48 * 1_024 * 1_024;
const ANY_IDLE_MS = Number.POSITIVE_INFINITY;

/** The connections to one backend server. */
export class BackendPool {
    private connections: BackendConnection[] = [];
    private opened = 0;
    private readonly budget = ByteBudget.create(MAX_HELD_BYTES);

    private constructor(private readonly host: string, private readonly port: number, private readonly dialect: AnswerDialect) {}

    /**
     * Creates a pool without connections.
     *
     * @param address - `host:port` of the backend server.
     * @param dialect - How its answers tell what they belong to.
     */
    static create(address: string, dialect: AnswerDialect): BackendPool {
        const [host, port] = address.split(":");
        return new BackendPool(host ?? "", Number(port), dialect);
    }

    /** Connections opened since the start. */
    get openedCount(): number {
        return this.opened;
    }

    /**
     * Sends a request.
     *
     * @param call - The request.
     * @param needsProof - True for work that must not be repeated: it gets a connection that has answered lately or is new.
     * @returns The exchange, which can be broken off.
     */
    send(call: BackendCall, needsProof: boolean): BackendExchange {
        const exchange = { connection: undefined as BackendConnection | undefined, isCancelled: false };
        const run = async (): Promise<BackendResult> => {
            const reused = call.requestId === "" ? undefined : this.findIdle(needsProof ? PROVEN_MS : ANY_IDLE_MS);
            if (reused !== undefined) {
                exchange.connection = reused;
                const result = await this.exchangeOn(reused, call);
                if (!isStale(result) || needsProof || exchange.isCancelled) {
                    return result;
                }
            }
            return this.sendOnNew(call, exchange);
        };
        return {
            result: run(),
            cancel: () => {
                exchange.isCancelled = true;
                exchange.connection?.close();
            },
        };
    }

    /** Closes connections that are not used any more. */
    tidy(): void {
        const atMs = nowMs();
        this.connections.filter((connection) => connection.isDone || (!connection.isBusy && !connection.isUsable(atMs, ANY_IDLE_MS)))
            .forEach((connection) => connection.close());
        this.connections = this.connections.filter((connection) => !connection.isDone);
    }

    /** Closes all connections. */
    close(): void {
        this.connections.forEach((connection) => connection.close());
        this.connections = [];
    }

    private async sendOnNew(
        call: BackendCall,
        exchange: { connection: BackendConnection | undefined; isCancelled: boolean },
    ): Promise<BackendResult> {
        try {
            this.opened += 1;
            exchange.connection = await BackendConnection.create(this.host, this.port, CONNECT_TIMEOUT_MS, this.dialect, this.budget);
        }
        catch (thrown) {
            return { kind: BackendResultKind.NotConnected, problem: toError(thrown).message };
        }
        this.connections.push(exchange.connection);
        if (exchange.isCancelled) {
            exchange.connection.close();
            return { kind: BackendResultKind.NotConnected, problem: "given up before the connection was open" };
        }
        return this.exchangeOn(exchange.connection, call);
    }

    private async exchangeOn(connection: BackendConnection, call: BackendCall): Promise<BackendResult> {
        const result = await connection.exchange(call);
        this.tidy();
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

function isStale(result: BackendResult): boolean {
    return result.kind === BackendResultKind.Broken && result.wasReused && !result.hadAnswerBytes && result.afterMs < STALE_MS;
}
