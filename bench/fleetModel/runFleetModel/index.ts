import { install } from "@sinonjs/fake-timers";
import { createRandom } from "../../soak/createRandom/index.js";
import { FleetModel } from "../FleetModel/index.js";
import { FleetModelOptions } from "../FleetModelOptions.js";

const STEP_MS = 1;

/**
 * Runs a fleet on a faked clock, with all random choices from one seed.
 *
 * @param options - The fleet.
 * @param runMs - Simulated time to run for.
 * @param onStep - Called after each ms with the time.
 * @returns The fleet after the run; it is closed.
 * @example
 * (await runFleetModel(options, 16_000)).counts.requests;
 */
export async function runFleetModel(
    options: FleetModelOptions,
    runMs: number,
    onStep: (model: FleetModel, atMs: number) => void = () => undefined,
): Promise<FleetModel> {
    const clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"] });
    const { random } = Math;
    Math.random = createRandom(options.seed);
    const model = FleetModel.create(options);
    try {
        for (let atMs = 0; atMs < runMs; atMs += STEP_MS) {
            clock.tick(STEP_MS);
            model.advance();
            onStep(model, atMs);
            await new Promise((resolve) => setImmediate(resolve));
        }
    }
    finally {
        model.close();
        clock.uninstall();
        Math.random = random;
    }
    return model;
}
