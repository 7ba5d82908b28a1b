import { EventLog } from "../logs/EventLog/index.js";
import { AttemptId } from "../model/AttemptId.js";
import { AttemptVerdict } from "../model/AttemptVerdict.js";
import { GateRef } from "../model/GateRef.js";
import { SettleMode } from "../model/SettleMode.js";
import { AttemptNumbering } from "./AttemptNumbering/index.js";
import { AttemptSender } from "./AttemptSender/index.js";
import { EndpointLoads } from "./EndpointLoads/index.js";

/** What the requests of one entry share. */
export interface EntryTools {
    readonly sender: AttemptSender;
    readonly numbering: AttemptNumbering;
    readonly loads: EndpointLoads;
    readonly events: EventLog;
    /** Chooses an endpoint of a service outside the excluded ones. */
    choose(service: string, excluded: readonly GateRef[]): GateRef | undefined;
    /** Takes one retry of a service's budget. */
    withdrawRetry(service: string): boolean;
    /** Asks a gate about an attempt. */
    settle(id: AttemptId, gate: GateRef, mode: SettleMode, keyed: boolean): Promise<AttemptVerdict>;
}
