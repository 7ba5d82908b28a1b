/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { KeptConnection } from "../../lib-2/client.mjs";
import { callJson, createConfiguration } from "../../lib-2/fleet.mjs";
import { runCase } from "../../lib-2/runCase.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOST = "stone.example";
const ORDINARY_CLIENTS = 8;
const ORDINARY_MS = 12_000;
/** `contact`: the rule RECOVER says for how long a machine that says it is ready may take no new connection. */
const CONTACT_MS = 3_000;
/** Connections of the client that nobody controls; a machine has 4,100 descriptors. */
const HELD_CONNECTIONS = 2_100;
/** Interval at which it sends a byte of each body. */
const BYTE_INTERVAL_MS = 5_000;

/** Begins a request on each of many connections, and sends its body byte by byte. */
async function holdConnections(address, isOver) {
    const [host, port] = address.split(":");
    const held = new Set();
    const open = () => {
        if (isOver()) {
            return;
        }
        const socket = connect({ host, port: Number(port) }, () => {
            held.add(socket);
            socket.write(`POST /read/w0/ HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: slow\r\nDeadline-Ms: 60000\r\nContent-Length: 1000\r\n\r\n`);
        });
        socket.on("error", () => undefined);
        socket.on("close", () => {
            held.delete(socket);
            setTimeout(open, 100);
        });
    };
    for (let count = 0; count < HELD_CONNECTIONS; count += 1) {
        open();
        if (count % 100 === 0) {
            await delay(10);
        }
    }
    const timer = setInterval(() => held.forEach((socket) => socket.write("x")), BYTE_INTERVAL_MS);
    return { held, stop: () => clearInterval(timer) };
}

await runCase(import.meta.url, { controls: 3, tolerated: 1, proxies: ["alpha", "alpha"], endpoint: { slots: 20 } }, async (fleet) => {
    const routes = [{ name: "r-read", host: HOST, prefix: "/read/", kind: "safe", service: "alpha" }];
    await fleet.callOperator("PATCH", createConfiguration(["alpha"], routes));
    await fleet.waitUntilReady();
    await delay(4_000);
    const address = fleet.addressOf("proxy-0", "outbound");
    let isOver = false;
    const holder = HAS_TROUBLE ? await holdConnections(address, () => isOver) : undefined;
    await delay(2_000);
    fleet.record(`connections held: ${holder?.held.size ?? 0}`);

    const results = [];
    const startMs = fleet.nowMs();
    const tryAgain = async (client) => {
        for (let count = 0; fleet.nowMs() < startMs + ORDINARY_MS; count += 1) {
            const id = `c${client}-${count}`;
            const connection = await KeptConnection.open(address);
            const result = connection === undefined
                ? { end: "refused" }
                : await connection.send({ id, path: "/read/w50/s100/", host: HOST, deadlineMs: 3_000 });
            connection?.close();
            results.push({ client, atMs: fleet.nowMs(), ...result });
            fleet.record(`${id} ${result.end} ${result.status ?? ""}`);
            await delay(200);
        }
    };
    const readiness = [];
    const askReadiness = async () => {
        while (fleet.nowMs() < startMs + ORDINARY_MS) {
            readiness.push((await callJson(fleet.addressOf("proxy-0", "ready"), "GET", "/readiness", undefined, 1_000))?.status);
            await delay(1_000);
        }
    };
    await Promise.all([askReadiness(), ...Array.from({ length: ORDINARY_CLIENTS }, (_value, client) => tryAgain(client))]);
    isOver = true;
    holder?.stop();

    // The longest time in which none of the ordinary clients got any answer on a new connection.
    const answeredAtMs = results.filter(({ end }) => end === "answered").map(({ atMs }) => atMs);
    const marks = [startMs, ...answeredAtMs.sort((one, other) => one - other), startMs + ORDINARY_MS];
    const longestMs = Math.max(...marks.slice(1).map((atMs, index) => atMs - marks[index]));
    const isAlwaysReady = readiness.every((status) => status === 200);
    fleet.record(`readiness: ${readiness.join(" ")}`);
    fleet.record(`ordinary attempts: ${results.length}, answered: ${answeredAtMs.length}, longest time without one: ${longestMs} ms`);
    return results.length > 50 && isAlwaysReady ? longestMs > CONTACT_MS : undefined;
});
