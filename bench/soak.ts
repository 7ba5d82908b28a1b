import { Command } from "commander";
import { HEAVY_FAULTS } from "./soak/heavyFaults.js";
import { SoakWorld } from "./soak/SoakWorld/index.js";

const options = new Command("soak")
    .description("Runs simulated fleets under injected faults and prints the invariants violated.")
    .option("--seed <seed>", "first seed", "1")
    .option("--seeds <count>", "number of seeds", "20")
    .option("--trace <work>", "print the events of the work with this ID", "")
    .option("--steps <count>", "number of steps per run", "20000")
    .parse()
    .opts<Record<"seed" | "seeds" | "steps" | "trace", string>>();

let violations = 0;
for (let seed = Number(options.seed); seed < Number(options.seed) + Number(options.seeds); seed += 1) {
    const report = SoakWorld.run(seed, Number(options.steps), HEAVY_FAULTS, options.trace);
    violations += report.violations.length;
    process.stdout.write(`${JSON.stringify(report)}\n`);
}
process.stdout.write(`${violations} violations\n`);
process.exitCode = violations === 0 ? 0 : 1;
