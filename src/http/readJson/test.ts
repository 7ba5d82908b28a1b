import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { listenHttp } from "../listenHttp/index.js";
import { readJson } from "./index.js";

const MAX_BYTES = 1_000;
const WAIT_MS = 20_000;

async function startServer(t: ExecutionContext): Promise<number> {
    const app = new H3();
    app.put("/x", async (event) => ({ body: await readJson(event, MAX_BYTES) }));
    const server = await listenHttp("127.0.0.1", 0, "port", toNodeHandler(app));
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return (server.address() as AddressInfo).port;
}

// Guards against a daemon that runs out of memory by one request to its operators' or announcement port.
test("a body without end is refused at the limit, and its connection closed without a reset", async (t) => {
    const socket = connect(await startServer(t), "127.0.0.1");
    t.teardown(() => socket.destroy());
    const errors: string[] = [];
    let text = "";
    socket.on("error", (error) => errors.push(error.message));
    socket.on("data", (data: Buffer) => text += data.toString());
    socket.write("PUT /x HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    const timer = setInterval(() => socket.writable && socket.write("1\r\nz\r\n".repeat(100)), 1);
    const end = await Promise.race([once(socket, "end"), delay(WAIT_MS, "still open")]);
    clearInterval(timer);
    t.not(end, "still open");
    t.regex(text, /^HTTP\/1.1 413 /);
    t.deepEqual(errors, []);
});

for (const [body, status, expected] of [["[1]", 200, { body: [1] }], ["", 200, {}], ["[", 400, undefined]] as const) {
    test(`the body "${body}" leads to status ${status}`, async (t) => {
        const response = await fetch(`http://127.0.0.1:${await startServer(t)}/x`, { method: "PUT", body });
        t.is(response.status, status);
        const document: unknown = await response.json();
        if (expected !== undefined) {
            t.deepEqual(document, expected);
        }
    });
}
