import { Command } from "commander";
import { runLatency } from "./runLatency/index.js";

const program = new Command("bench").description("Measures the fleet on the loopback address.");
program.command("latency")
    .description("Time added to a lookup by an entry and a gate in separate processes.")
    .action(async () => print(await runLatency()));
await program.parseAsync();

function print(report: unknown): void {
    process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
}
