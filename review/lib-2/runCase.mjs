/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { KeptConnection } from "./client.mjs";
import { Endpoint } from "./endpoint.mjs";
import { Fleet } from "./fleet.mjs";

/**
 * Runs a case and ends this process with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 *
 * @param moduleUrl - URL of the script; its folder receives `record.txt`.
 * @param options - Fleet, and `endpoint`: options of the servers.
 * @param play - Plays the case on a started fleet; returns whether the rule was broken, or undefined if too little could be seen.
 */
export async function runCase(moduleUrl, options, play) {
    const fleet = await Fleet.create(join(dirname(fileURLToPath(moduleUrl)), "record.txt"), options);
    const endpoints = [];
    let exitCode = 2;
    try {
        fleet.startAll();
        endpoints.push(...await Promise.all(fleet.proxyNames.map((name) => Endpoint.create(fleet, name, options.endpoint))));
        await delay(500);
        const isBroken = await play(fleet, endpoints);
        exitCode = isBroken === undefined ? 2 : Number(isBroken);
        fleet.record(`exit code ${exitCode}`);
    }
    catch (thrown) {
        fleet.record(`the case could not run: ${thrown instanceof Error ? thrown.stack : String(thrown)}`);
    }
    finally {
        endpoints.forEach((endpoint) => endpoint.close());
        await fleet.close();
    }
    process.exit(exitCode);
}

/**
 * A client that keeps its connection and sends the next request `pauseMs` after the end of the last one, or as late as `Retry-After` asks
 * for, until `isOver` says so.
 *
 * @param request - The request, or a function that returns it for an id.
 * @param results - Receives `{ id, name, sentAtMs, endedAtMs, end, status }` of each request.
 */
export async function sendContinuously(fleet, name, client, request, pauseMs, results, isOver) {
    let connection;
    for (let count = 0; !isOver(); count += 1) {
        if (connection === undefined || connection.isClosed) {
            connection = await KeptConnection.open(fleet.addressOf(name, "outbound"));
            if (connection === undefined) {
                await delay(50);
                continue;
            }
        }
        const id = `${name}-${client}-${count}`;
        const sentAtMs = fleet.nowMs();
        const result = await connection.send({ ...typeof request === "function" ? request(id) : request, id });
        results.push({ id, name, sentAtMs, endedAtMs: fleet.nowMs(), ...result });
        fleet.record(`${id} sent at ${sentAtMs}: ${result.end} ${result.status ?? ""}`);
        await delay(Math.max(pauseMs, Number(result.headers?.["retry-after"] ?? 0) * 1_000));
    }
    connection?.close();
}
