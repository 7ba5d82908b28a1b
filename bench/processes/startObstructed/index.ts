import { once } from "node:events";
import { readFileSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { ProcessFleet } from "../ProcessFleet/index.js";

const MIN_OBSTACLE_MS = 100;
const MAX_OBSTACLE_MS = 3_000;

/** What a start may find missing for a moment. */
enum Obstacle {
    HeldPort,
    DataFolder,
    MissingSettings,
    CutSettings,
}

/**
 * Starts a process that finds something missing for 0.1 to 3 s: one of its ports is held, a file stands in place of its
 * data folder, or its settings are not there or cut.
 *
 * @param fleet - The processes.
 * @param name - Name of a process that does not run.
 * @param random - Source of random numbers from 0 to 1.
 * @param onObstacle - Called with a description of the obstacle before the start.
 * @returns Resolves when nothing is missing any more.
 * @example
 * await startObstructed(fleet, "proxy-1", random, record); // record("port 127.20.1.11:8622 held for 1200 ms")
 */
export async function startObstructed(
    fleet: ProcessFleet,
    name: string,
    random: () => number,
    onObstacle: (description: string) => void,
): Promise<void> {
    const obstacles = [Obstacle.HeldPort, Obstacle.HeldPort, Obstacle.MissingSettings, Obstacle.CutSettings];
    if (name.startsWith("control")) {
        obstacles.push(Obstacle.DataFolder, Obstacle.DataFolder);
    }
    const obstacle = obstacles[Math.floor(random() * obstacles.length)] ?? Obstacle.HeldPort;
    const durationMs = MIN_OBSTACLE_MS + Math.floor(random() * (MAX_OBSTACLE_MS - MIN_OBSTACLE_MS));
    switch (obstacle) {
        case Obstacle.HeldPort: {
            const addresses = Object.values(fleet.listenAddressesOf(name)) as readonly string[];
            const address = addresses[Math.floor(random() * addresses.length)] ?? "";
            onObstacle(`port ${address} held for ${durationMs} ms`);
            return holdPort(fleet, name, address, durationMs);
        }
        case Obstacle.DataFolder: {
            const folder = fleet.dataFolderOf(name);
            onObstacle(`file in place of the data folder for ${durationMs} ms`);
            renameSync(folder, `${folder}.away`);
            writeFileSync(folder, "");
            fleet.start(name);
            await delay(durationMs);
            rmSync(folder);
            renameSync(`${folder}.away`, folder);
            return;
        }
        case Obstacle.MissingSettings:
        case Obstacle.CutSettings: {
            onObstacle(`settings ${obstacle === Obstacle.CutSettings ? "cut" : "missing"} for ${durationMs} ms`);
            fleet.start(name);
            const file = fleet.settingsFileOf(name);
            const text = readFileSync(file, "utf8");
            if (obstacle === Obstacle.CutSettings) {
                writeFileSync(file, text.slice(0, Math.floor(random() * text.length)));
            }
            else {
                rmSync(file);
            }
            await delay(durationMs);
            writeFileSync(file, text);
            return;
        }
    }
}

async function holdPort(fleet: ProcessFleet, name: string, address: string, durationMs: number): Promise<void> {
    const [host, port] = address.split(":");
    const holder = createServer((socket) => {
        socket.on("error", () => undefined);
        socket.destroy();
    });
    holder.listen(Number(port), host);
    await once(holder, "listening");
    fleet.start(name);
    await delay(durationMs);
    holder.close();
}
