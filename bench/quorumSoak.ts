import { Command } from "commander";
import { QuorumWorld } from "./quorum/QuorumWorld/index.js";

const options = new Command("quorum-soak")
    .description("Runs simulated control VMs under injected faults and prints the invariants violated.")
    .option("--seed <seed>", "first seed", "1")
    .option("--seeds <count>", "number of seeds", "20")
    .option("--steps <count>", "number of steps per run", "20000")
    .parse()
    .opts<Record<"seed" | "seeds" | "steps", string>>();

let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed += 1) {
    const report = QuorumWorld.run(seed, seed % 2 === 0 ? 5 : 3, Number(options.steps));
    violations += report.violations.length;
    process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`${violations} violations\n`);
process.exitCode = violations === 0 ? 0 : 1;
