import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { runInTurn } from "./index.js";

test("a call starts once the one before has ended, also by an error", async (t) => {
    const run = runInTurn();
    const steps: string[] = [];
    const call = (name: string) => async (): Promise<string> => {
        steps.push(`${name} starts`);
        await delay(5);
        steps.push(`${name} ends`);
        if (name === "a") {
            throw new Error(name);
        }
        return name;
    };
    const [first, second] = await Promise.allSettled([run(call("a")), run(call("b"))]);
    t.is(first.status, "rejected");
    t.deepEqual(second, { status: "fulfilled", value: "b" });
    t.deepEqual(steps, ["a starts", "a ends", "b starts", "b ends"]);
});
