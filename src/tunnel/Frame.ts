import { GateLoadReport } from "../decisions/fleet/GateLoadReport.js";
import { HeaderList } from "../model/HeaderList.js";
import { FrameKind } from "./FrameKind.js";
import { GateReply } from "./GateReply.js";
import { Invitation } from "./Invitation.js";
import { ProxyMessage } from "./ProxyMessage.js";
import { WorkOffer } from "./WorkOffer.js";

/** Frame on a tunnel between an entry and a gate. */
export type Frame =
    | { readonly kind: FrameKind.Welcome; readonly gateRun: string; readonly takesDeferredBodies?: boolean }
    | { readonly kind: FrameKind.Offer; readonly offer: WorkOffer }
    | { readonly kind: FrameKind.Resume; readonly key: string; readonly gateRun: string }
    | { readonly kind: FrameKind.Confirm; readonly key: string; readonly body?: Buffer }
    | { readonly kind: FrameKind.Cancel; readonly key: string }
    | { readonly kind: FrameKind.Reply; readonly key: string; readonly reply: GateReply }
    | {
        readonly kind: FrameKind.Head;
        readonly key: string;
        readonly status: number;
        readonly headers: HeaderList;
        readonly load: GateLoadReport | undefined;
    }
    | { readonly kind: FrameKind.Chunk; readonly key: string; readonly data: Buffer }
    | { readonly kind: FrameKind.End; readonly key: string; readonly problem: string | undefined }
    | { readonly kind: FrameKind.Credit; readonly key: string; readonly bytes: number }
    | { readonly kind: FrameKind.Invitation; readonly invitation: Invitation }
    /** `load` is encoded by `packLoads`. */
    | { readonly kind: FrameKind.PackedInvitation; readonly load: Uint8Array; readonly waitedMs: number | undefined }
    | { readonly kind: FrameKind.Message; readonly message: ProxyMessage }
    | { readonly kind: FrameKind.Ping }
    | { readonly kind: FrameKind.Pong };
