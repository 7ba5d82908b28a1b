import { SILENT_STATEMENT } from "../../../test/fixtures/silentStatement.js";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { install } from "@sinonjs/fake-timers";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { collectGarbage } from "../../../test/fixtures/collectGarbage.js";
import { HeaderList } from "../../model/HeaderList.js";
import { BackendRequest } from "../BackendRequest.js";
import { BackendResult } from "../BackendResult.js";
import { BackendResultKind } from "../BackendResultKind.js";
import { ResponseDialect } from "../ResponseDialect.js";
import { BackendPool } from "./index.js";

const DIALECT: ResponseDialect = {
    readRequestId: (headers: HeaderList) => headers.find(([name]) => name.toLowerCase() === "id")?.[1],
    isNotRun: (_status, headers) => headers.some(([name]) => name.toLowerCase() === "not-run"),
    readStatement: () => SILENT_STATEMENT,
    isSigned: () => true,
};

function request(id: string, method = "GET"): BackendRequest {
    return { method, path: "/", headers: [["Host", "a.example"]], body: Buffer.alloc(0), hasBody: false, requestId: id };
}

function response(id: string, body = "ok"): string {
    return `HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Runs a pool against a server whose handler gets the number of the request on its connection, and that of the connection. */
async function withServer(
    t: ExecutionContext,
    onRequest: (socket: Socket, number: number, connection: number) => void,
    run: (pool: BackendPool) => Promise<void>,
): Promise<void> {
    let connectionCount = 0;
    const server: Server = createServer((socket) => {
        connectionCount += 1;
        const connection = connectionCount;
        let requestCount = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requestCount += 1;
            onRequest(socket, requestCount, connection);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const pool = BackendPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, DIALECT);
    try {
        await run(pool);
    }
    finally {
        pool.close();
        server.close();
        t.pass();
    }
}

function bodyOf(result: BackendResult): string | undefined {
    return result.kind === BackendResultKind.Answered ? result.answer.body.toString() : undefined;
}

test("a connection is reused, for a request that must not be repeated only if it has just received a response", async (t) => {
    await withServer(t, (socket, number) => socket.write(response(String(number))), async (pool) => {
        t.is(bodyOf(await pool.send(request("1"), false).result), "ok");
        t.is(bodyOf(await pool.send(request("2"), true).result), "ok");
        t.is(pool.openedCount, 1);
    });
});

test("a late duplicate response is ignored, and the request gets its own", async (t) => {
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 1) {
            socket.write(response("1"));
            return;
        }
        socket.write(response("1", "stale") + response("2", "own"));
    }, async (pool) => {
        await pool.send(request("1"), false).result;
        t.is(bodyOf(await pool.send(request("2"), true).result), "own");
    });
});

test("a connection with bytes after a complete response is not reused", async (t) => {
    await withServer(t, (socket, _number, connection) => socket.write(response(String(connection)) + response(String(connection), "extra")), async (pool) => {
        t.is(bodyOf(await pool.send(request("1"), false).result), "ok");
        t.is(bodyOf(await pool.send(request("2"), false).result), "ok");
        t.is(pool.openedCount, 2);
    });
});

test("a truncated response is detected by its length and by its chunks", async (t) => {
    await withServer(t, (socket, _number, connection) => {
        socket.end(connection === 1
            ? "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf"
            : "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    }, async (pool) => {
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
    });
});

test("a response without a length is complete at the end of its connection, and fails on a reset", async (t) => {
    await withServer(t, (socket, _number, connection) => {
        socket.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall there is", () => {
            if (connection === 1) {
                socket.end();
            }
            else {
                setTimeout(() => socket.resetAndDestroy(), 20);
            }
        });
    }, async (pool) => {
        t.is(bodyOf(await pool.send(request("1"), true).result), "all there is");
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
    });
});

test("a response without a length fails if a reset follows right after its last bytes, although the end is reported first", async (t) => {
    await withServer(t, (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf of it");
        socket.resetAndDestroy();
    }, async (pool) => {
        for (let attempt = 0; attempt < 30; attempt += 1) {
            t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
        }
    });
});

test("a request that had run for a while when its connection failed is not sent again", async (t) => {
    let arrivals = 0;
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 1) {
            socket.write(response("1"));
            return;
        }
        arrivals += 1;
        setTimeout(() => socket.resetAndDestroy(), 60);
    }, async (pool) => {
        await pool.send(request("1"), false).result;
        t.is((await pool.send(request("2"), false).result).kind, BackendResultKind.Broken);
        t.is(arrivals, 1);
    });
});

test("invalid HTTP and a malformed chunk size fail the exchange", async (t) => {
    const garbage = ["SSH-2.0 hello\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n\r\n"];
    await withServer(t, (socket, _number, connection) => socket.write(garbage[connection - 1] ?? ""), async (pool) => {
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
    });
});

test("a response without the id of its request is accepted only if it states that nothing was executed", async (t) => {
    await withServer(t, (socket, _number, connection) => {
        socket.write(connection === 1
            ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }, async (pool) => {
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Broken);
        t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.Answered);
    });
});

test.serial("a repeatable request is sent again on a new connection if a reused one was reset before any response", async (t) => {
    // Stops the clock, so that the reset does not seem to come late on a busy machine.
    const clock = install({ toFake: ["performance"] });
    t.teardown(() => clock.uninstall());
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 2) {
            socket.resetAndDestroy();
            return;
        }
        socket.write(response(connection === 1 ? "1" : "2"));
    }, async (pool) => {
        await pool.send(request("1"), false).result;
        let resends = 0;
        t.is(bodyOf(await pool.send(request("2"), false, () => resends += 1).result), "ok");
        t.is(resends, 1);
        t.is(pool.openedCount, 2);
    });
});

test("a request that must not be repeated is never sent twice", async (t) => {
    let arrivals = 0;
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 1) {
            socket.write(response("1"));
            return;
        }
        arrivals += 1;
        socket.resetAndDestroy();
    }, async (pool) => {
        await pool.send(request("1"), false).result;
        const result = await pool.send(request("2", "POST"), true).result;
        t.is(result.kind, BackendResultKind.Broken);
        t.is(arrivals, 1);
    });
});

test("an unreachable backend server is distinguished from one that dropped the connection", async (t) => {
    const pool = BackendPool.create("127.0.0.1:1", DIALECT);
    t.is((await pool.send(request("1"), true).result).kind, BackendResultKind.NotConnected);
});

test("cancelling an exchange closes its connection", async (t) => {
    let closed = false;
    let arrived: () => void = () => undefined;
    const arrival = new Promise<void>((resolve) => {
        arrived = resolve;
    });
    await withServer(t, (socket) => {
        socket.on("close", () => {
            closed = true;
        });
        arrived();
    }, async (pool) => {
        const exchange = pool.send(request("1"), true);
        await arrival;
        exchange.cancel();
        t.is((await exchange.result).kind, BackendResultKind.Broken);
        for (let waitedMs = 0; !closed && waitedMs < 3_000; waitedMs += 10) {
            await new Promise((resolve) => setTimeout(resolve, 10));
        }
        t.true(closed);
    });
});

test("a refusal without an id on a reused connection is not accepted, since it may be a late copy", async (t) => {
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 2) {
            socket.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            setTimeout(() => socket.write(response("2", "it ran")), 20);
            return;
        }
        socket.write(response("1"));
    }, async (pool) => {
        await pool.send(request("1"), false).result;
        t.is((await pool.send(request("2", "POST"), true).result).kind, BackendResultKind.Broken);
    });
});

test("a request without an id gets a new connection, so that it cannot receive a late response to another request", async (t) => {
    await withServer(t, (socket) => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), async (pool) => {
        t.is(bodyOf(await pool.send(request(""), false).result), "ok");
        t.is(bodyOf(await pool.send(request(""), false).result), "ok");
        t.is(pool.openedCount, 2);
    });
});

const ENDLESS = {
    "a body without a length": ["HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x".repeat(65_536)],
    "chunks": ["HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", `8000\r\n${"x".repeat(32_768)}\r\n`],
    "a declared length above the limit": ["HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\n", "x".repeat(65_536)],
    "one line of a header section": ["HTTP/1.1 200 OK\r\nId: 1\r\nX-Long: ", "x".repeat(65_536)],
    "lines of a header section": ["HTTP/1.1 200 OK\r\nId: 1\r\n", "X-More: and more\r\n".repeat(1_000)],
    "interim responses": ["", "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000)],
    "a chunk extension": ["HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x".repeat(65_536)],
    "trailers": ["HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n".repeat(1_000)],
    "responses to other requests": ["", response("0", "x".repeat(1_000)).repeat(20)],
} as const;

Object.entries(ENDLESS).forEach(([name, [head, more]]) => {
    test.serial(`a backend server that never stops sending ${name} is disconnected before it exhausts the memory`, async (t) => {
        let sentBytes = 0;
        let isClosed = false;
        await withServer(t, (socket) => {
            const sendMore = (): void => {
                while (!isClosed && sentBytes < 128 * 1_024 * 1_024) {
                    sentBytes += more.length;
                    if (!socket.write(more)) {
                        socket.once("drain", sendMore);
                        return;
                    }
                }
            };
            socket.once("close", () => {
                isClosed = true;
            });
            socket.write(head);
            sendMore();
        }, async (pool) => {
            const result = await pool.send(request("1"), true).result;
            t.is(result.kind, BackendResultKind.Broken);
            t.true(sentBytes < 40 * 1_024 * 1_024, `${sentBytes} bytes were sent`);
        });
    });
});

test.serial("many large responses at once share one buffer budget, and one that exceeds it fails", async (t) => {
    const large = `HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: ${15 * 1_024 * 1_024}\r\n\r\n`;
    await withServer(t, (socket) => {
        socket.write(large);
        socket.write("x".repeat(14 * 1_024 * 1_024));
    }, async (pool) => {
        const exchanges = Array.from({ length: 5 }, () => pool.send(request("1"), true));
        const first = await Promise.race(exchanges.map(({ result }) => result));
        t.is(first.kind, BackendResultKind.Broken);
        exchanges.forEach((exchange) => exchange.cancel());
    });
});

const MEGABYTE = 1_024 * 1_024;

function upload(id: string, bytes: number): BackendRequest {
    return { ...request(id, "POST"), body: Buffer.alloc(bytes), hasBody: true };
}

/** Runs a pool against a server that accepts connections and reads nothing. */
async function withUnreadingServer(
    maxRequestBytes: number | undefined,
    run: (pool: BackendPool, sockets: readonly Socket[]) => Promise<void>,
): Promise<void> {
    const sockets: Socket[] = [];
    const server = createServer({ pauseOnConnect: true }, (socket) => {
        socket.on("error", () => undefined);
        sockets.push(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const pool = BackendPool.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, DIALECT, maxRequestBytes);
    try {
        await run(pool, sockets);
    }
    finally {
        pool.close();
        sockets.forEach((socket) => socket.destroy());
        server.close();
    }
}

async function waitForConnections(sockets: readonly Socket[], count: number): Promise<void> {
    for (let waits = 0; sockets.length < count && waits < 1_000; waits += 1) {
        await delay(5);
    }
    // The request is written in the turn in which the connection is reported.
    await delay(50);
}

// Guards against a second copy of each upload in the socket's buffer while its endpoint reads nothing.
test.serial("the body of a request that the endpoint does not read is held once", async (t) => {
    const bytes = 48 * MEGABYTE;
    await withUnreadingServer(undefined, async (pool, sockets) => {
        const { body, ...rest } = upload("1", bytes);
        collectGarbage();
        const before = process.memoryUsage();
        const exchange = pool.send({ ...rest, body }, true);
        await waitForConnections(sockets, 1);
        collectGarbage();
        const after = process.memoryUsage();
        const addedBytes = after.external + after.heapUsed - before.external - before.heapUsed;
        t.log(`${Math.round(addedBytes / 1_024)} kB beside the body of ${bytes / MEGABYTE} MB`);
        t.true(addedBytes < 2 * MEGABYTE, `${addedBytes} bytes`);
        t.is(pool.requestBytes, bytes);
        exchange.cancel();
        t.is((await exchange.result).kind, BackendResultKind.Broken);
        t.is(pool.requestBytes, 0);
    });
});

// Guards against a process that runs out of memory by uploads which its endpoint does not read.
test.serial("uploads to an endpoint that reads nothing are not sent beyond the limit, and are again once others have ended", async (t) => {
    await withUnreadingServer(10 * MEGABYTE, async (pool, sockets) => {
        const sent = ["1", "2"].map((id) => pool.send(upload(id, 5 * MEGABYTE), true));
        const refused = await pool.send(upload("3", 1), true).result;
        t.deepEqual(refused, { kind: BackendResultKind.NotSent, heldBytes: 10 * MEGABYTE + 1, limitBytes: 10 * MEGABYTE });
        await waitForConnections(sockets, 2);
        t.is(pool.openedCount, 2);
        sockets[0]?.destroy();
        t.is((await sent[0]?.result)?.kind, BackendResultKind.Broken);
        t.is(pool.requestBytes, 5 * MEGABYTE);
        pool.send(upload("4", 1), true);
        await waitForConnections(sockets, 3);
        t.is(pool.openedCount, 3);
        t.is(pool.requestBytes, 5 * MEGABYTE + 1);
    });
});

test.serial("requests without a body are sent while uploads are at the limit", async (t) => {
    await withUnreadingServer(MEGABYTE, async (pool, sockets) => {
        pool.send(upload("1", MEGABYTE), true);
        pool.send(request("2"), true);
        await waitForConnections(sockets, 2);
        t.is(pool.openedCount, 2);
    });
});

// Guards against a service whose uploads are never run because each of them is larger than the limit.
test.serial("a body beyond the limit is sent while no other is held", async (t) => {
    await withServer(t, (socket) => socket.write(response("1")), async (pool) => {
        t.is(bodyOf(await pool.send(upload("1", 65 * MEGABYTE), true).result), "ok");
        t.is(pool.requestBytes, 0);
    });
});
