import { GateReply } from "./GateReply.js";
import { WorkHandle } from "./WorkHandle.js";
import { WorkOffer } from "./WorkOffer.js";

/** A gate as an entry sees it, in its own process or over a tunnel. */
export interface WorkPort {
    /** Offers a request; `onReply` gets what the gate says until the offer is refused, answered or broken. */
    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): WorkHandle;
}
