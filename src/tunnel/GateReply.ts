import { BackendResponse } from "../backend/BackendResponse.js";
import { GateLoadReport } from "../decisions/fleet/GateLoadReport.js";
import { RefusalCause } from "../model/RefusalCause.js";
import { GateReplyKind } from "./GateReplyKind.js";

/** Reply of a gate to an offer. */
export type GateReply =
    | {
        readonly kind: GateReplyKind.Refused;
        readonly cause: RefusalCause;
        readonly retryAfterMs: number;
        /** True if the endpoint received the request and refused to execute it. */
        readonly reachedEndpoint: boolean;
        readonly load: GateLoadReport | undefined;
    }
    | { readonly kind: GateReplyKind.Queued }
    | { readonly kind: GateReplyKind.Granted }
    | { readonly kind: GateReplyKind.Started }
    | { readonly kind: GateReplyKind.Answered; readonly answer: BackendResponse; readonly load: GateLoadReport | undefined }
    | {
        readonly kind: GateReplyKind.Broken;
        readonly problem: string;
        /** True if the endpoint crashed while it executed the request. */
        readonly lostEndpoint: boolean;
    };
