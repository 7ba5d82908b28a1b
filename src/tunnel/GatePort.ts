import { GateReply } from "./GateReply.js";
import { OfferHandle } from "./OfferHandle.js";
import { WorkOffer } from "./WorkOffer.js";

/** Interface of a gate to entries, in the same process or over a tunnel. */
export interface GatePort {
    /** Offers a request. `onReply` is called with each reply up to the final one: refused, answered or broken. */
    offer(offer: WorkOffer, onReply: (reply: GateReply) => void): OfferHandle;
}
