import { Command } from "commander";
import { mkdirSync, writeFileSync } from "node:fs";
import { runLatency } from "./runLatency/index.js";
import { runSlopes } from "./runSlopes/index.js";

const REPORTS = "reports";

const program = new Command("bench").description("Measures the fleet on the loopback address; reports go to the folder reports.");
program.command("latency")
    .description("Time added to a lookup by an entry and a gate in separate processes.")
    .action(async () => report("latency", await runLatency()));
program.command("slopes")
    .description("Memory, processor time and bytes of each role against sizes.")
    .option("--modules", "measure the decision modules only")
    .action(async (options: { readonly modules?: boolean }) => report("slopes", await runSlopes(options.modules !== true)));
await program.parseAsync();

function report(name: string, content: unknown): void {
    const text = `${JSON.stringify(content, undefined, 2)}\n`;
    mkdirSync(REPORTS, { recursive: true });
    writeFileSync(`${REPORTS}/${name}.json`, text);
    process.stdout.write(text);
}
