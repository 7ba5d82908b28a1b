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
import { AttemptIdAllocator } from "./AttemptIdAllocator/index.js";
import { AttemptSender } from "./AttemptSender/index.js";
import { EndpointLoads } from "./EndpointLoads/index.js";

/** Components that the requests of one entry share. */
export interface EntryDependencies {
    readonly sender: AttemptSender;
    readonly attemptIdAllocator: AttemptIdAllocator;
    readonly loads: EndpointLoads;
    readonly events: EventLog;
    readonly quarantine: QuarantineController;
    /** Chooses a gate for a request, other than the excluded ones; undefined if there is none. */
    chooseGate(context: RequestContext, excluded: readonly GateRef[]): GateRef | undefined;
    /** Withdraws one retry from a service's budget; false if the budget is spent. */
    tryWithdrawRetry(service: string): boolean;
    /** Sends a request to a witness; resolves to undefined if it does not reply. */
    callWitness(witness: RosterWitness, request: WitnessRequest): Promise<WitnessReply | undefined>;
    /** Settles an attempt that another request made under the same idempotency key. */
    settleClaimedAttempt(id: AttemptId, gate: GateRef, mode: SettleMode): Promise<SettleResult>;
    /** Settles an attempt of this entry: asks its gate what became of it. */
    settle(id: AttemptId, gate: GateRef, mode: SettleMode, keyed: boolean): Promise<SettleResult>;
}
