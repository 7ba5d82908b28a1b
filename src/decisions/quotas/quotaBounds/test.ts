import test from "ava";
import { ItemKind } from "../../items/ItemKind.js";
import { LocalQuota } from "../LocalQuota/index.js";
import { quotaBounds } from "./index.js";

const TERMS = { windowMs: 5_000, overshoot: 0.1, slack: 20 };

// Load: limits from less than one request a second to the long-term target. Guards against an excess that leases and proxies without
// contact and full buckets use up together.
for (const [ratePerSecond, burst] of [[0.2, 1], [1, 1], [10, 10], [100, 100], [100, 0], [140_000, 140_000]] as const) {
    test(`leases and local grants for ${ratePerSecond} a second and ${burst} at once stay within the permitted excess`, (t) => {
        const organisation = { kind: ItemKind.Organisation as const, name: "o", apiKeys: [], priority: 0, ratePerSecond, burst };
        const { capacity, leaseMs, localPerSecond, localHoldMs } = quotaBounds(organisation, TERMS);
        const excess = 0.1 * (ratePerSecond * 5 + burst) + 20;
        const leased = ratePerSecond * leaseMs / 1_000;
        const local = localPerSecond * (5_000 + localHoldMs) / 1_000;
        t.true(leaseMs > 0 && leaseMs <= 1_000);
        t.true(localPerSecond > 0 && localPerSecond <= ratePerSecond);
        t.true(capacity - burst >= 4, "room for the smallest buckets of five control VMs");
        t.true(leased + local + capacity - burst <= excess + 1e-6, `${leased} + ${local} + ${capacity - burst} of ${excess}`);
    });
}

// Guards against settings of a deployment that permits no excess, or names no window: tokens must stay usable.
for (const [windowMs, overshoot, slack] of [[5_000, 0, 0], [0, 0.1, 20], [0, 0, 0]] as const) {
    test(`tokens can be used with a window of ${windowMs} ms, an overshoot of ${overshoot} and a slack of ${slack}`, (t) => {
        const organisation = { kind: ItemKind.Organisation as const, name: "o", apiKeys: [], priority: 0, ratePerSecond: 10, burst: 10 };
        const bounds = quotaBounds(organisation, { windowMs, overshoot, slack });
        t.true(bounds.leaseMs >= 200);
        t.true(bounds.capacity >= 10);
        const quota = LocalQuota.create(() => 0);
        t.is(quota.take(bounds, 100, 0) === 0, slack > 0);
    });
}
