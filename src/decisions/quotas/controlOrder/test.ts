import test from "ava";
import { controlOrder } from "./index.js";

const CONTROLS = ["c-1", "c-2", "c-3", "c-4", "c-5"].map((vm, index) => ({ vm, failureDomain: index === 4 ? "a" : "b" }));

// Load: 104 proxies and 86 organisations. Guards against one control VM that gets most of the asks.
test("proxies and organisations are spread over the control VMs of other failure domains", (t) => {
    const counts = new Map<string, number>();
    for (let proxy = 0; proxy < 104; proxy += 1) {
        for (let organisation = 0; organisation < 86; organisation += 1) {
            const [first] = controlOrder(CONTROLS, { vm: `vm-${proxy}`, failureDomain: "c" }, `org-${organisation}`);
            counts.set(first?.vm ?? "", (counts.get(first?.vm ?? "") ?? 0) + 1);
        }
    }
    t.is(counts.size, 5);
    counts.forEach((count) => t.true(count > 1_430 && count < 2_150, `${count} of 8944`));
});

test("a control VM of the own failure domain comes first", (t) => {
    t.is(controlOrder(CONTROLS, { vm: "vm-1", failureDomain: "a" }, "org-1")[0]?.vm, "c-5");
});

test("without one control VM the order of the others stays", (t) => {
    const proxy = { vm: "vm-1", failureDomain: "c" };
    const all = controlOrder(CONTROLS, proxy, "org-1");
    const [first] = all;
    t.deepEqual(controlOrder(CONTROLS.filter(({ vm }) => vm !== first?.vm), proxy, "org-1"), all.slice(1));
});
