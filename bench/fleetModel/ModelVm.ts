import { FleetView } from "../../src/callers/FleetView/index.js";
import { RequestDispatcher } from "../../src/callers/RequestDispatcher/index.js";
import { GateRecord } from "../../src/decisions/fleet/GateRecord.js";
import { ProbeInvitations } from "../../src/decisions/outliers/ProbeInvitations/index.js";
import { FleetUpdateRelay } from "../../src/mesh/FleetUpdateRelay/index.js";
import { LoadReporter } from "../../src/mesh/LoadReporter/index.js";
import { ServingGate } from "../../src/serving/ServingGate/index.js";
import { TunnelCallbacks } from "../../src/tunnel/TunnelCallbacks.js";
import { ModelBackend } from "./ModelBackend/index.js";
import { ModelService } from "./ModelService.js";

/** One VM of a `FleetModel`: an entry and the gate of an endpoint. */
export interface ModelVm {
    readonly name: string;
    readonly service: ModelService;
    readonly backend: ModelBackend;
    /** Creates a gate as after a restart. */
    readonly createGate: () => ServingGate;
    record: GateRecord;
    /** Replaced when the gate restarts. */
    gate: ServingGate;
    readonly fleetView: FleetView;
    readonly dispatcher: RequestDispatcher;
    readonly loadReporter: LoadReporter;
    readonly control: FleetUpdateRelay;
    readonly invitations: ProbeInvitations<TunnelCallbacks>;
}
