import { Command } from "commander";
import { mkdirSync, writeFileSync } from "node:fs";
import { measureLatency } from "./measureLatency/index.js";
import { measureSlopes } from "./measureSlopes/index.js";

const REPORTS_FOLDER = "reports";

const program = new Command("bench").description("Measures a fleet on the loopback address and writes the reports to the folder reports.");
program.command("latency")
    .description("Measures the latency that an entry and a gate in separate processes add to a lookup.")
    .action(async () => writeReport("latency", await measureLatency()));
program.command("slopes")
    .description("Measures how memory, processor time and network bytes of each role grow with size.")
    .option("--modules", "measure only the decision modules, without a fleet")
    .action(async (options: { readonly modules?: boolean }) => writeReport("slopes", await measureSlopes(options.modules !== true)));
await program.parseAsync();

function writeReport(name: string, content: unknown): void {
    const text = `${JSON.stringify(content, undefined, 2)}\n`;
    mkdirSync(REPORTS_FOLDER, { recursive: true });
    writeFileSync(`${REPORTS_FOLDER}/${name}.json`, text);
    process.stdout.write(text);
}
