import { once } from "node:events";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { install } from "@sinonjs/fake-timers";
import test, { type ExecutionContext } from "ava";
import { HeaderList } from "../../model/HeaderList.js";
import { AnswerDialect } from "../AnswerDialect.js";
import { BackendCall } from "../BackendCall.js";
import { BackendResult } from "../BackendResult.js";
import { BackendResultKind } from "../BackendResultKind.js";
import { BackendPool } from "./index.js";

const DIALECT: AnswerDialect = {
    requestIdOf: (headers: HeaderList) => headers.find(([name]) => name.toLowerCase() === "id")?.[1],
    saysNotRun: (_status, headers) => headers.some(([name]) => name.toLowerCase() === "not-run"),
    isSigned: () => true,
};

function call(id: string, method = "GET"): BackendCall {
    return { method, path: "/", headers: [["Host", "a.example"]], body: Buffer.alloc(0), hasBody: false, requestId: id };
}

function answer(id: string, body = "ok"): string {
    return `HTTP/1.1 200 OK\r\nId: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** Runs a pool against a server that handles each connection's requests by their number on it. */
async function withServer(
    t: ExecutionContext,
    onRequest: (socket: Socket, number: number, connection: number) => void,
    run: (pool: BackendPool) => Promise<void>,
): Promise<void> {
    let connections = 0;
    const server: Server = createServer((socket) => {
        connections += 1;
        const connection = connections;
        let requests = 0;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            requests += 1;
            onRequest(socket, requests, connection);
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

test("a connection is used again, also for work that must not be repeated if it has just answered", async (t) => {
    await withServer(t, (socket, number) => socket.write(answer(String(number))), async (pool) => {
        t.is(bodyOf(await pool.send(call("1"), false).result), "ok");
        t.is(bodyOf(await pool.send(call("2"), true).result), "ok");
        t.is(pool.openedCount, 1);
    });
});

test("an extra answer that comes late is passed over, and the request gets its own", async (t) => {
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 1) {
            socket.write(answer("1"));
            return;
        }
        socket.write(answer("1", "stale") + answer("2", "own"));
    }, async (pool) => {
        await pool.send(call("1"), false).result;
        t.is(bodyOf(await pool.send(call("2"), true).result), "own");
    });
});

test("bytes behind a complete answer end the use of its connection", async (t) => {
    await withServer(t, (socket, _number, connection) => socket.write(answer(String(connection)) + answer(String(connection), "extra")), async (pool) => {
        t.is(bodyOf(await pool.send(call("1"), false).result), "ok");
        t.is(bodyOf(await pool.send(call("2"), false).result), "ok");
        t.is(pool.openedCount, 2);
    });
});

test("an answer that is cut short is broken, by its length and by its chunks", async (t) => {
    await withServer(t, (socket, _number, connection) => {
        socket.end(connection === 1
            ? "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf"
            : "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    }, async (pool) => {
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
    });
});

test("an answer without a length is whole at the end of its connection, and broken by a reset", async (t) => {
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
        t.is(bodyOf(await pool.send(call("1"), true).result), "all there is");
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
    });
});

test("an answer without a length that is reset right behind its last bytes is broken, although the end is seen first", async (t) => {
    await withServer(t, (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf of it");
        socket.resetAndDestroy();
    }, async (pool) => {
        for (let attempt = 0; attempt < 30; attempt += 1) {
            t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
        }
    });
});

test("a request that had run for a while when its connection broke is not sent again", async (t) => {
    let arrivals = 0;
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 1) {
            socket.write(answer("1"));
            return;
        }
        arrivals += 1;
        setTimeout(() => socket.resetAndDestroy(), 60);
    }, async (pool) => {
        await pool.send(call("1"), false).result;
        t.is((await pool.send(call("2"), false).result).kind, BackendResultKind.Broken);
        t.is(arrivals, 1);
    });
});

test("bytes that are no answer, and a malformed chunk size, break the exchange", async (t) => {
    const garbage = ["SSH-2.0 hello\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n\r\n"];
    await withServer(t, (socket, _number, connection) => socket.write(garbage[connection - 1] ?? ""), async (pool) => {
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
    });
});

test("an answer without the id of its request counts only if it says that nothing has run", async (t) => {
    await withServer(t, (socket, _number, connection) => {
        socket.write(connection === 1
            ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }, async (pool) => {
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Broken);
        t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.Answered);
    });
});

test.serial("a repeatable request is sent again on a new connection if a kept one was reset before any answer", async (t) => {
    // The clock stands still, so that on a busy machine the reset does not seem to come late.
    const clock = install({ toFake: ["performance"] });
    t.teardown(() => clock.uninstall());
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 2) {
            socket.resetAndDestroy();
            return;
        }
        socket.write(answer(connection === 1 ? "1" : "2"));
    }, async (pool) => {
        await pool.send(call("1"), false).result;
        t.is(bodyOf(await pool.send(call("2"), false).result), "ok");
        t.is(pool.openedCount, 2);
    });
});

test("work that must not be repeated is never sent twice", async (t) => {
    let arrivals = 0;
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 1) {
            socket.write(answer("1"));
            return;
        }
        arrivals += 1;
        socket.resetAndDestroy();
    }, async (pool) => {
        await pool.send(call("1"), false).result;
        const result = await pool.send(call("2", "POST"), true).result;
        t.is(result.kind, BackendResultKind.Broken);
        t.is(arrivals, 1);
    });
});

test("a backend server that cannot be reached is told apart from one that broke off", async (t) => {
    const pool = BackendPool.create("127.0.0.1:1", DIALECT);
    t.is((await pool.send(call("1"), true).result).kind, BackendResultKind.NotConnected);
});

test("an exchange that is given up closes its connection", async (t) => {
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
        const exchange = pool.send(call("1"), true);
        await arrival;
        exchange.cancel();
        t.is((await exchange.result).kind, BackendResultKind.Broken);
        for (let waitedMs = 0; !closed && waitedMs < 3_000; waitedMs += 10) {
            await new Promise((resolve) => setTimeout(resolve, 10));
        }
        t.true(closed);
    });
});

test("a refusal without an id on a connection in use again is nobody's, as it may be a late copy", async (t) => {
    await withServer(t, (socket, number, connection) => {
        if (connection === 1 && number === 2) {
            socket.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            setTimeout(() => socket.write(answer("2", "it ran")), 20);
            return;
        }
        socket.write(answer("1"));
    }, async (pool) => {
        await pool.send(call("1"), false).result;
        t.is((await pool.send(call("2", "POST"), true).result).kind, BackendResultKind.Broken);
    });
});

test("a request without an id gets a connection of its own, so that no late answer is taken for its own", async (t) => {
    await withServer(t, (socket) => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), async (pool) => {
        t.is(bodyOf(await pool.send(call(""), false).result), "ok");
        t.is(bodyOf(await pool.send(call(""), false).result), "ok");
        t.is(pool.openedCount, 2);
    });
});

const ENDLESS = {
    "a body without a length": ["HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x".repeat(65_536)],
    "chunks": ["HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", `8000\r\n${"x".repeat(32_768)}\r\n`],
    "a stated length above the limit": ["HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\n", "x".repeat(65_536)],
    "one line of a head": ["HTTP/1.1 200 OK\r\nId: 1\r\nX-Long: ", "x".repeat(65_536)],
    "lines of a head": ["HTTP/1.1 200 OK\r\nId: 1\r\n", "X-More: and more\r\n".repeat(1_000)],
    "interim answers": ["", "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000)],
    "a chunk extension": ["HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x".repeat(65_536)],
    "trailers": ["HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n".repeat(1_000)],
    "answers to other requests": ["", answer("0", "x".repeat(1_000)).repeat(20)],
} as const;

Object.entries(ENDLESS).forEach(([name, [head, more]]) => {
    test.serial(`a backend server that never stops sending ${name} is cut off before it fills the memory`, async (t) => {
        let sentBytes = 0;
        let isClosed = false;
        await withServer(t, (socket) => {
            const pour = (): void => {
                while (!isClosed && sentBytes < 128 * 1_024 * 1_024) {
                    sentBytes += more.length;
                    if (!socket.write(more)) {
                        socket.once("drain", pour);
                        return;
                    }
                }
            };
            socket.once("close", () => {
                isClosed = true;
            });
            socket.write(head);
            pour();
        }, async (pool) => {
            const result = await pool.send(call("1"), true).result;
            t.is(result.kind, BackendResultKind.Broken);
            t.true(sentBytes < 40 * 1_024 * 1_024, `${sentBytes} bytes were sent`);
        });
    });
});

test.serial("many large answers at once share one budget, and what exceeds it is broken", async (t) => {
    const large = `HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: ${15 * 1_024 * 1_024}\r\n\r\n`;
    await withServer(t, (socket) => {
        socket.write(large);
        socket.write("x".repeat(14 * 1_024 * 1_024));
    }, async (pool) => {
        const exchanges = Array.from({ length: 5 }, () => pool.send(call("1"), true));
        const first = await Promise.race(exchanges.map(({ result }) => result));
        t.is(first.kind, BackendResultKind.Broken);
        exchanges.forEach((exchange) => exchange.cancel());
    });
});
