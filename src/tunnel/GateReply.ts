import { BackendAnswer } from "../backend/BackendAnswer.js";
import { GateLoadReport } from "../decisions/fleet/GateLoadReport.js";
import { RefusalCause } from "../model/RefusalCause.js";
import { GateReplyKind } from "./GateReplyKind.js";

/** What a gate says of an offer. */
export type GateReply =
    | {
        readonly kind: GateReplyKind.Refused;
        readonly cause: RefusalCause;
        readonly retryAfterMs: number;
        /** True if the endpoint was asked and said that it did not run the request. */
        readonly reachedEndpoint: boolean;
        readonly load: GateLoadReport | undefined;
    }
    | { readonly kind: GateReplyKind.Queued }
    | { readonly kind: GateReplyKind.Granted }
    | { readonly kind: GateReplyKind.Started }
    | { readonly kind: GateReplyKind.Answered; readonly answer: BackendAnswer; readonly load: GateLoadReport | undefined }
    | {
        readonly kind: GateReplyKind.Broken;
        readonly problem: string;
        /** True if the endpoint was lost while it ran the request. */
        readonly lostEndpoint: boolean;
    };
