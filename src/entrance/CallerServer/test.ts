import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { ItemKind } from "../../decisions/items/ItemKind.js";
import { CallerAnswer } from "../CallerAnswer.js";
import { CallerDialect } from "../CallerDialect.js";
import { CallerExchange } from "../CallerExchange.js";
import { CallerServer } from "./index.js";

const DIALECT: CallerDialect = {
    readTerms: (headers) => ({ requestId: headers.find(([name]) => name === "Id")?.[1] ?? "", patienceMs: undefined }),
    forwardedHeaders: (headers) => headers,
    ownAnswerHeaders: () => [],
    isGenuine: () => true,
};

async function play(
    t: ExecutionContext,
    run: (server: CallerServer, exchanges: CallerExchange[], open: () => Promise<Socket>) => Promise<void>,
): Promise<void> {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const exchanges: CallerExchange[] = [];
    const errors: Error[] = [];
    const server = await CallerServer.create(`127.0.0.1:${port}`, DIALECT, (exchange) => exchanges.push(exchange), (error) => errors.push(error));
    const sockets: Socket[] = [];
    try {
        await run(server, exchanges, async () => {
            const socket = connect(port, "127.0.0.1");
            socket.on("error", () => undefined);
            sockets.push(socket);
            await once(socket, "connect");
            return socket;
        });
    }
    finally {
        sockets.forEach((socket) => socket.destroy());
        server.close();
        t.pass();
    }
}

function get(id: string): string {
    return `GET /${id} HTTP/1.1\r\nHost: a.example\r\nId: ${id}\r\n\r\n`;
}

function answer(text: string): CallerAnswer {
    return { status: 200, headers: [], body: Buffer.from(text) };
}

async function until(condition: () => boolean): Promise<void> {
    for (let waitedMs = 0; !condition() && waitedMs < 3_000; waitedMs += 5) {
        await delay(5);
    }
}

function collect(socket: Socket): { text: string } {
    const collected = { text: "" };
    socket.on("data", (chunk: Buffer) => {
        collected.text += chunk.toString();
    });
    return collected;
}

test("pipelined requests are taken at once and answered in their order", async (t) => {
    await play(t, async (_server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1") + get("2") + get("3"));
        await until(() => exchanges.length === 3);
        [...exchanges].reverse().forEach((exchange) => exchange.answer(answer(`answer-${exchange.request.requestId}`)));
        await until(() => collected.text.includes("answer-3"));
        t.deepEqual(collected.text.match(/answer-\d/g), ["answer-1", "answer-2", "answer-3"]);
    });
});

test("a caller that leaves is noticed for each of its requests", async (t) => {
    await play(t, async (server, exchanges, open) => {
        const socket = await open();
        let gone = 0;
        socket.write(get("1") + get("2"));
        await until(() => exchanges.length === 2);
        exchanges.forEach((exchange) => exchange.onGone(() => {
            gone += 1;
        }));
        socket.destroy();
        await until(() => gone === 2);
        t.is(gone, 2);
        t.is(server.openCount, 0);
    });
});

test("chunked bodies are read whole", async (t) => {
    await play(t, async (_server, exchanges, open) => {
        const socket = await open();
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        socket.write("2\r\nde\r\n0\r\n\r\n");
        await until(() => exchanges.length === 1);
        t.is(exchanges[0]?.request.body.toString(), "abcde");
        t.true(exchanges[0]?.request.hasBody);
    });
});

test("bodies and headers above the limits of the configuration are refused", async (t) => {
    await play(t, async (server, exchanges, open) => {
        server.setLimits({
            kind: ItemKind.Limits,
            name: "limits",
            maxHeaderBytes: 200,
            maxBodyBytes: 4,
            headerTimeoutMs: 1_000,
            idleTimeoutMs: 1_000,
        });
        const large = await open();
        const largeAnswer = collect(large);
        large.write("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nabcde");
        await until(() => largeAnswer.text !== "");
        t.regex(largeAnswer.text, /^HTTP\/1\.1 413/);
        const long = await open();
        const longAnswer = collect(long);
        long.write(`GET / HTTP/1.1\r\nHost: a.example\r\nX: ${"x".repeat(300)}\r\n\r\n`);
        await until(() => longAnswer.text !== "");
        t.regex(longAnswer.text, /^HTTP\/1\.1 431/);
        t.is(exchanges.length, 0);
    });
});

test("while it stops, a connection ends with its last answer", async (t) => {
    await play(t, async (server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1"));
        await until(() => exchanges.length === 1);
        server.startStopping();
        exchanges[0]?.answer(answer("last"));
        await once(socket, "close");
        t.regex(collected.text, /connection: close/i);
        t.regex(collected.text, /last$/);
    });
});

test("an answer is framed by its body, whatever framing its endpoint used", async (t) => {
    await play(t, async (_server, exchanges, open) => {
        const socket = await open();
        const collected = collect(socket);
        socket.write(get("1"));
        await until(() => exchanges.length === 1);
        exchanges[0]?.answer({ status: 200, headers: [["Transfer-Encoding", "chunked"], ["X", "y"]], body: Buffer.from("whole") });
        await until(() => collected.text.includes("whole"));
        t.regex(collected.text, /content-length: 5/i);
        t.notRegex(collected.text, /transfer-encoding/i);
        t.regex(collected.text, /X: y/);
    });
});

test("a body that never ends is refused at the limit, and its connection closed", async (t) => {
    await play(t, async (server, exchanges, open) => {
        server.setLimits({ kind: ItemKind.Limits, name: "limits", maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 });
        const socket = await open();
        const collected = collect(socket);
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (let sent = 0; sent < 1_000 && !socket.destroyed; sent += 1) {
            socket.write(`8000\r\n${"x".repeat(32_768)}\r\n`);
            await delay(1);
        }
        t.true(socket.destroyed);
        t.regex(collected.text, /^HTTP\/1.1 413/);
        t.is(exchanges.length, 0);
    });
});

test("a body of which nothing comes for the idle time is given up, with the word that it has not run", async (t) => {
    await play(t, async (server, exchanges, open) => {
        server.setLimits({ kind: ItemKind.Limits, name: "limits", maxHeaderBytes: 16_384, maxBodyBytes: 100_000, headerTimeoutMs: 3_000, idleTimeoutMs: 100 });
        const socket = await open();
        const collected = collect(socket);
        socket.write("POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\nhalf");
        await until(() => collected.text.includes("\r\n\r\n"));
        t.regex(collected.text, /^HTTP\/1.1 408/);
        t.is(exchanges.length, 0);
    });
});

test("bodies beyond the memory for all of them are refused at once, and there is room again when the others are answered", async (t) => {
    const megabytes = 12;
    const post = `POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${megabytes * 1_024 * 1_024}\r\n\r\n`;
    const body = Buffer.alloc(megabytes * 1_024 * 1_024);
    await play(t, async (_server, exchanges, open) => {
        for (let number = 1; number <= 2; number += 1) {
            const socket = await open();
            socket.write(post);
            socket.write(body);
            await until(() => exchanges.length === number);
        }
        const third = await open();
        const collected = collect(third);
        third.write(post);
        third.write(body);
        await until(() => collected.text.includes("\r\n\r\n"));
        t.regex(collected.text, /^HTTP\/1.1 503/);
        exchanges.forEach((exchange) => exchange.answer(answer("ok")));
        const fourth = await open();
        fourth.write(post);
        fourth.write(body);
        await until(() => exchanges.length === 3);
        t.is(exchanges.length, 3);
    });
});

test("an unexpected error ends the connection of its request only", async (t) => {
    const probe = createServer().listen(0, "127.0.0.1");
    await once(probe, "listening");
    const { port } = probe.address() as AddressInfo;
    probe.close();
    await once(probe, "close");
    const errors: Error[] = [];
    const server = await CallerServer.create(`127.0.0.1:${port}`, DIALECT, (exchange) => {
        if (exchange.request.path === "/bad") {
            throw new Error("unexpected");
        }
        exchange.answer(answer("ok"));
    }, (error) => errors.push(error));
    t.teardown(() => server.close());
    const bad = connect(port, "127.0.0.1");
    bad.on("error", () => undefined);
    bad.write(get("bad"));
    await until(() => bad.destroyed);
    t.is(errors.length, 1);
    const good = connect(port, "127.0.0.1");
    const collected = collect(good);
    good.write(get("good"));
    await until(() => collected.text.includes("ok"));
    t.regex(collected.text, /200 OK/);
    good.destroy();
});
