import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import test from "ava";
import { isServerDown } from "./index.js";

async function listen(): Promise<{ readonly server: Server; readonly address: string }> {
    const server = createServer((socket) => socket.destroy());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

test("a server that closes its port shortly after a connection is down", async (t) => {
    const { server, address } = await listen();
    let connections = 0;
    server.on("connection", () => {
        connections += 1;
        server.close();
    });
    t.true(await isServerDown(address));
    t.is(connections, 1);
});

test("a server that accepts the next connection is not down", async (t) => {
    const { server, address } = await listen();
    t.false(await isServerDown(address));
    server.close();
});
