import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { FleetError } from "../../model/FleetError.js";
import { serveText } from "./index.js";

test("the text is served only at its path, and a failure of the renderer is reported", async (t) => {
    const errors: string[] = [];
    let isFailing = false;
    const render = (): Promise<string> => isFailing ? Promise.reject(new Error("broken")) : Promise.resolve("up 1\n");
    const server = await serveText("127.0.0.1:0", [{ path: "/metrics", contentType: "text/plain", render }], (error) => errors.push(error.message));
    t.teardown(() => server.close());
    const base = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    t.is(await (await fetch(`${base}/metrics`)).text(), "up 1\n");
    t.is((await fetch(`${base}/other`)).status, 404);
    isFailing = true;
    t.is((await fetch(`${base}/metrics`)).status, 500);
    t.deepEqual(errors, ["broken"]);
});

test("an address in use causes an error that names the address", async (t) => {
    const text = { path: "/", contentType: "text/plain", render: () => Promise.resolve("") };
    const server = await serveText("127.0.0.1:0", [text], () => undefined);
    t.teardown(() => server.close());
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const error = await t.throwsAsync(serveText(address, [text], () => undefined), { any: true });
    t.true(error instanceof FleetError && error.message.includes(address));
});

// Guards against a reader whose endless body is parsed for as long as it likes.
test("a request with an endless body is answered, and its connection closed", async (t) => {
    const text = { path: "/metrics", contentType: "text/plain", render: () => Promise.resolve("up 1\n") };
    const server = await serveText("127.0.0.1:0", [text], () => undefined);
    t.teardown(() => server.close());
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    t.teardown(() => socket.destroy());
    const errors: Error[] = [];
    let received = "";
    socket.on("error", (error) => errors.push(error));
    socket.on("data", (data: Buffer) => received += data.toString());
    socket.write("GET /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    const timer = setInterval(() => socket.writable && socket.write("1\r\nz\r\n".repeat(1_000)), 1);
    const end = await Promise.race([once(socket, "end"), delay(3_000, "still open")]);
    clearInterval(timer);
    t.not(end, "still open");
    t.regex(received, /^HTTP\/1.1 200 [^]*up 1\n/);
    t.deepEqual(errors, []);
});
