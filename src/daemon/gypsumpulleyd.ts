#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { Command } from "commander";
import { toError } from "../model/toError/index.js";
import { parseSettings } from "../settings/parseSettings/index.js";
import { Daemon } from "./Daemon/index.js";

const EXIT_FAILED = 1;

interface DaemonOptions {
    readonly settings: string;
}

async function main(options: DaemonOptions): Promise<void> {
    const daemon = await Daemon.create(parseSettings(readFileSync(options.settings, "utf8"), options.settings));
    const stop = (): void => void daemon.stop().then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

await new Command("gypsumpulleyd")
    .description("Runs a process of the fleet with the roles that its settings enable.")
    .requiredOption("--settings <file>", "settings file (TOML)")
    .addHelpText("after", "\nExample:\n  gypsumpulleyd --settings /etc/gypsumpulley/settings.toml")
    .action((options: DaemonOptions) => main(options).catch((thrown: unknown) => {
        process.stderr.write(`${toError(thrown).message}\n`);
        process.exit(EXIT_FAILED);
    }))
    .parseAsync();
