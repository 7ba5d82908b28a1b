import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import { RefusalListener } from "../../logs/RefusalListener.js";
import { HeaderProgress } from "../HeaderProgress/index.js";

/** Events of a server by which it announces a request whose header section is finished. */
const REQUEST_EVENTS = ["request", "checkContinue", "checkExpectation"];
/** Events after which a connection carries no further request. */
const LAST_REQUEST_EVENTS = ["connect", "upgrade"];

let processBytes = 0;

/** Parser of Node.js, with the part of its state that its types leave out. */
interface HeaderParser {
    _headers?: unknown;
}

interface WatchedConnection {
    readonly remoteAddress: string | undefined;
    readonly progress: HeaderProgress;
    readonly handleData: (chunk: Buffer) => void;
}

/**
 * Bounds the header sections that the clients of an HTTP server have begun and not finished. Short fields take many times their
 * bytes, so that thousands of such sections fill a heap. Beyond the limit, the connection whose section has been unfinished longest is
 * closed: a client that needs a second read finishes soon, one that stops grows older.
 */
export class UnfinishedHeaders {
    private readonly connections = new Map<Duplex, WatchedConnection>();
    /** Connections with an unfinished section, in the order in which these began. */
    private readonly unfinished = new Set<Duplex>();
    private totalBytes = 0;

    private constructor(private readonly limitBytes: number, private readonly onRefusal: RefusalListener) {}

    /**
     * Starts to watch the connections of a server that has none yet.
     *
     * @param server - Server with all its listeners for requests: a listener for another kind of request would change what it does.
     * @param limitBytes - Limit on the memory that all unfinished sections take together.
     * @param onRefusal - Called with each connection that is closed.
     */
    static create(server: Server, limitBytes: number, onRefusal: RefusalListener): UnfinishedHeaders {
        const headers = new UnfinishedHeaders(limitBytes, onRefusal);
        server.on("connection", (socket: Socket) => headers.watch(socket));
        REQUEST_EVENTS.filter((name) => name === "request" || server.listenerCount(name) > 0).forEach((name) => {
            server.prependListener(name, (request: IncomingMessage) => headers.connections.get(request.socket)?.progress.recordRequest(request));
        });
        LAST_REQUEST_EVENTS.filter((name) => server.listenerCount(name) > 0).forEach((name) => {
            server.prependListener(name, (_request: IncomingMessage, socket: Duplex) => headers.forget(socket));
        });
        return headers;
    }

    /** Estimate of the memory that all unfinished sections of this process take, in bytes. */
    static get bytesOfProcess(): number {
        return processBytes;
    }

    /** Estimate of the memory that the unfinished sections take, in bytes. */
    get heldBytes(): number {
        return this.totalBytes;
    }

    /** Number of connections with an unfinished section. */
    get count(): number {
        return this.unfinished.size;
    }

    private watch(socket: Socket): void {
        const progress = HeaderProgress.create();
        const handleData = (chunk: Buffer): void => this.handleRead(socket, progress, chunk);
        this.connections.set(socket, { remoteAddress: socket.remoteAddress, progress, handleData });
        // Called after the listener of the server, which parses what was read.
        socket.on("data", handleData);
        socket.once("close", () => this.forget(socket));
    }

    private handleRead(socket: Socket, progress: HeaderProgress, chunk: Buffer): void {
        // The read may have ended the connection, or its requests.
        if (socket.destroyed || !this.connections.has(socket)) {
            return;
        }
        const previousBytes = progress.heldBytes;
        const hasFinished = progress.handleRead(chunk);
        this.add(progress.heldBytes - previousBytes);
        if (hasFinished || progress.heldBytes === 0) {
            this.unfinished.delete(socket);
        }
        if (progress.heldBytes > 0) {
            // A section that is known already keeps its place.
            this.unfinished.add(socket);
        }
        this.closeBeyondLimit();
    }

    private closeBeyondLimit(): void {
        for (const socket of this.unfinished) {
            if (this.totalBytes <= this.limitBytes) {
                return;
            }
            this.onRefusal("unfinished header sections", this.totalBytes, this.limitBytes, this.connections.get(socket)?.remoteAddress);
            this.forget(socket);
            releaseFields(socket);
            socket.destroy();
        }
    }

    private forget(socket: Duplex): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            socket.off("data", connection.handleData);
            this.connections.delete(socket);
            this.unfinished.delete(socket);
            this.add(-connection.progress.heldBytes);
        }
    }

    private add(bytes: number): void {
        this.totalBytes += bytes;
        processBytes += bytes;
    }
}

/**
 * Releases the fields that the parser of a connection keeps. It would keep them until the close event, which comes only after the
 * reads of all other connections that are ready; a thousand of them may be.
 */
function releaseFields(socket: Duplex): void {
    const { parser } = socket as { parser?: HeaderParser | null };
    if (parser?._headers !== undefined) {
        parser._headers = [];
    }
}
