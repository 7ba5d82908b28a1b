import test from "ava";
import { VoterState } from "../../decisions/quorum/VoterState.js";
import { VoterWait } from "../../decisions/quorum/VoterWait.js";
import { EventLog } from "../../logs/EventLog/index.js";
import { VoterLog } from "./index.js";

test("a line is written when the losses that the voters bear or the voters to be replaced change, and gauges show both", (t) => {
    const lines: string[] = [];
    const log = VoterLog.create(EventLog.createUnfiltered("control-1", (line) => lines.push(line), () => undefined));
    const sound = { voters: [{ identity: "a:1", state: VoterState.Live }], spares: [], toleratedLosses: 2 };
    const replacement = { identity: "b:1", state: VoterState.Superseded, waitsFor: VoterWait.CatchUp };
    log.record(sound, []);
    log.record(sound, []);
    log.record({ ...sound, toleratedLosses: 1 }, [replacement]);
    t.deepEqual(log.gauges.map(({ read }) => read()), [1, 1]);
    const fields = lines.map((line) => JSON.parse(line) as { readonly toleratedLosses: number; readonly replacing: unknown });
    t.deepEqual(fields.map(({ toleratedLosses }) => toleratedLosses), [2, 1]);
    t.deepEqual(fields[1]?.replacing, ["b:1 superseded, waits for catch-up"]);
    t.deepEqual(log.status, { toleratedLosses: 1, replacements: [replacement] });
    log.clear();
    t.is(log.status, undefined);
    t.deepEqual(log.gauges.map(({ read }) => read()), [0, 0]);
});
