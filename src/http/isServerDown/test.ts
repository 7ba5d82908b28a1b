import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import FakeTimers from "@sinonjs/fake-timers";
import test from "ava";
import { isServerDown } from "./index.js";

async function listen(): Promise<{ readonly server: Server; readonly address: string }> {
    const server = createServer((socket) => socket.destroy());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

test.serial("a server that closes its port shortly after a connection is down", async (t) => {
    const { server, address } = await listen();
    let connections = 0;
    server.on("connection", () => {
        connections += 1;
        server.close();
    });
    t.true(await isServerDown(address));
    t.is(connections, 1);
});

// Guards against a request that crashes backend servers and is not quarantined, because one was restarted before the last check.
test.serial("a server that is restarted right after its exit was down", async (t) => {
    const clock = FakeTimers.install();
    const isAway = (): boolean => clock.now >= 10 && clock.now < 90;
    const result = isServerDown("127.0.0.1:1", () => Promise.resolve(!isAway()));
    await clock.tickAsync(1_000);
    clock.uninstall();
    t.true(await result);
});

test.serial("a server that accepts the next connection is not down", async (t) => {
    const { server, address } = await listen();
    t.false(await isServerDown(address));
    server.close();
});
