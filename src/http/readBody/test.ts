import { once } from "node:events";
import { createServer, type IncomingMessage } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { ByteBudget } from "../../decisions/limits/ByteBudget/index.js";
import { BodyLimits } from "../BodyLimits.js";
import { BodyResult } from "../BodyResult.js";
import { BodyResultKind } from "../BodyResultKind.js";
import { readBody } from "./index.js";

const LIMITS: BodyLimits = { maxBytes: 1_048_576, idleTimeoutMs: 1_000, totalTimeoutMs: 10_000 };
const CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n";

interface Reading {
    readonly sender: Socket;
    readonly result: Promise<BodyResult>;
    readonly budget: ByteBudget;
}

/** Sends the head of a request and reads its body. */
async function startReading(t: ExecutionContext, head: string, limits: BodyLimits): Promise<Reading> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const sender = connect((server.address() as AddressInfo).port, "127.0.0.1");
    sender.on("error", () => undefined);
    t.teardown(() => {
        sender.destroy();
        server.close();
        server.closeAllConnections();
    });
    sender.write(head);
    const [request] = await once(server, "request") as [IncomingMessage];
    const budget = ByteBudget.create(limits.maxBytes);
    return { sender, result: readBody(request, limits, budget), budget };
}

// Guards against a body of one-byte chunks that fills the heap and occupies the processor long before its bytes reach a limit.
test("a body in one-byte chunks without end is refused after a bounded number of them", async (t) => {
    const { sender, result, budget } = await startReading(t, CHUNKED_HEAD, LIMITS);
    for (let sent = 0; sent < 100_000; sent += 1_000) {
        sender.write("1\r\nz\r\n".repeat(1_000));
    }
    t.is((await result).kind, BodyResultKind.TooManyPieces);
    t.is(budget.heldBytes, 0);
});

test("a body in a few thousand small chunks is read whole", async (t) => {
    const { sender, result, budget } = await startReading(t, CHUNKED_HEAD, LIMITS);
    sender.write("2\r\nab\r\n".repeat(5_000));
    sender.write("0\r\n\r\n");
    const read = await result;
    t.is(read.kind === BodyResultKind.Complete ? read.body.toString() : read.kind, "ab".repeat(5_000));
    t.is(budget.heldBytes, 10_000);
});

// Guards against a sender that holds a request for ever by a byte in each idle timeout.
test("a body that makes progress byte by byte is refused once its total time is over", async (t) => {
    const limits = { ...LIMITS, idleTimeoutMs: 200, totalTimeoutMs: 600 };
    const { sender, result } = await startReading(t, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n\r\n", limits);
    const timer = setInterval(() => sender.write("x"), 50);
    t.teardown(() => clearInterval(timer));
    t.is((await Promise.race([result, delay(3_000, { kind: "still reading" })])).kind, BodyResultKind.Stalled);
});
