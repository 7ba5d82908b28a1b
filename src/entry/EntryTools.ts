import { QuarantineController } from "../controllers/QuarantineController/index.js";
import { RosterWitness } from "../decisions/claims/RosterWitness.js";
import { WitnessReply } from "../decisions/claims/WitnessReply.js";
import { WitnessRequest } from "../decisions/claims/WitnessRequest.js";
import { RequestContext } from "../filters/RequestContext.js";
import { EventLog } from "../logs/EventLog/index.js";
import { AttemptId } from "../model/AttemptId.js";
import { SettleResult } from "../model/SettleResult.js";
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
    readonly quarantine: QuarantineController;
    /** Chooses an endpoint for a request outside the excluded ones. */
    choose(context: RequestContext, excluded: readonly GateRef[]): GateRef | undefined;
    /** Takes one retry of a service's budget. */
    withdrawRetry(service: string): boolean;
    /** Asks a witness; undefined if it does not reply. */
    askWitness(witness: RosterWitness, request: WitnessRequest): Promise<WitnessReply | undefined>;
    /** Asks a gate about an attempt that another entry made under an idempotency key. */
    settleOther(id: AttemptId, gate: GateRef, mode: SettleMode): Promise<SettleResult>;
    /** Asks a gate about an attempt of this entry. */
    settle(id: AttemptId, gate: GateRef, mode: SettleMode, keyed: boolean): Promise<SettleResult>;
}
